#pragma once

#include "boragehollow/cli/exit_code.hpp"
#include "boragehollow/cli/http_client.hpp"
#include "boragehollow/common/time.hpp"
#include "boragehollow/config/config_snapshot.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <variant>

namespace boragehollow::cli {

/// Send the change after the delay; a retry has the same id.
struct send_change {
    std::chrono::milliseconds delay{};
};

/// A change with this id was already accepted or rejected; query its outcome with `GET /v1/changes/{id}`
/// after the delay.
struct query_outcome {
    std::chrono::milliseconds delay{};
};

/// The submission is complete: the exit code of the command, and the outcome if one is known.
struct submission_result {
    exit_code code = exit_code::failed;
    std::optional<config::change_outcome> outcome{};
    std::string detail{}; ///< Why there is no outcome.
};

using submission_step = std::variant<send_change, query_outcome, submission_result>;

/// Decides the next step after each attempt to submit one change. A change with a known id is never applied
/// twice, so every attempt whose response may have been lost is retried until the deadline.
class change_submission {
public:
    change_submission(std::string change_id, common::steady_time deadline)
        : m_change_id(std::move(change_id)), m_deadline(deadline) {}

    submission_step next(const tl::expected<http_response, transport_error>& attempt,
                         common::steady_time now);

private:
    submission_step on_response(const http_response& response, common::steady_time now);
    submission_step on_outcome(config::change_outcome outcome, common::steady_time now);
    submission_step retry(std::string detail, common::steady_time now);

    std::string m_change_id;
    common::steady_time m_deadline;
    std::chrono::milliseconds m_backoff{200};
    bool m_may_have_run = false; ///< A previous attempt may have been carried out.
    bool m_is_decided = false;   ///< The daemon has accepted or rejected a change with this id.
};

/// Describes an error response from its status and the reason, detail and field errors of its body.
std::string error_detail(const http_response& response);

} // namespace boragehollow::cli
