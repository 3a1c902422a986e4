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

/// Send the change again after the delay, with the same id.
struct resend {
    std::chrono::milliseconds delay{};
};

/// The change is known already; ask for its verdict with `GET /v1/changes/{id}` after the delay.
struct look_up {
    std::chrono::milliseconds delay{};
};

struct submission_end {
    exit_code code = exit_code::failed;
    std::optional<config::change_outcome> outcome{};
    std::string detail{}; ///< Why there is no outcome.
};

using submission_step = std::variant<resend, look_up, submission_end>;

/// Decides what follows each attempt to submit one change. A repeated id never runs twice, so every attempt
/// that may have been lost is repeated until the deadline.
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
    bool m_may_have_run = false;
    bool m_is_known = false; ///< The daemon has a verdict on this id.
};

/// A refusal's text from the body that every error response has.
std::string error_detail(const http_response& response);

} // namespace boragehollow::cli
