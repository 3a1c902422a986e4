#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/scenario/observations.hpp"
#include "boragehollow/scenario/statement.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Client of the daemons' operator interface and of the stand-ins' control interface. No other file uses
/// their paths and JSON fields.
namespace boragehollow::scenario::control_api {

template <class Value>
using result = tl::expected<Value, std::string>;

bool healthy(const common::endpoint& operators, std::chrono::milliseconds timeout);
result<daemon_sample> read_status(const std::string& daemon, const common::endpoint& operators,
                                  std::chrono::milliseconds timeout);
result<std::vector<telemetry::timeline_event>> read_timeline(const common::endpoint& operators);
result<void> block_links(const common::endpoint& operators, const std::vector<std::string>& addresses);

/// Outcome of posting a change.
struct change_response {
    bool outcome_known = false; ///< If false, the change may be retried with the same id.
    bool accepted = false;
    bool duplicate = false;    ///< The change id was already known.
    std::uint64_t version = 0; ///< Configuration version at which the verdict was reached.
    std::string text;          ///< Status and body, for messages.
};

/// Returns a change that puts all resources of a document: a list, `{"resources": [...]}`, or a single
/// resource. The operations of a document with `operations` are used unchanged.
result<std::string> change_from_document(std::string_view document, const std::string& change_id);
std::string change_that_deletes(const std::string& kind, const std::string& name,
                                const std::string& change_id);
result<change_response> post_change(const common::endpoint& operators, const std::string& change);

/// Enables a fault of a stand-in, or disables all faults with the mode `restore`. In mode `slow` a target
/// takes `delay` for a request that takes 5 ms by default.
result<void> set_target_fault(const common::endpoint& target, const std::string& mode,
                              std::optional<std::chrono::milliseconds> delay);
result<void> set_platform_fault(const common::endpoint& platform, const std::string& mode,
                                std::optional<std::chrono::milliseconds> delay);
result<std::vector<ledger_entry>> read_ledger(const common::endpoint& target);

/// Headers used by the stand-in target.
inline constexpr const char* id_header = "x-request-id";
inline constexpr const char* work_header = "x-work-ms";
inline constexpr const char* target_header = "x-target";
inline constexpr const char* body_digest_header = "x-body-digest";
inline constexpr const char* received_digest_header = "x-received-digest";

/// Headers used by the daemon.
inline constexpr const char* caller_header = "boragehollow-caller";
inline constexpr const char* outcome_header = "boragehollow-outcome";

} // namespace boragehollow::scenario::control_api
