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

/// The only place that knows the paths and JSON fields of the daemons' operator listener and of the
/// stand-ins.
namespace boragehollow::scenario::control_api {

template <class Value>
using result = tl::expected<Value, std::string>;

bool healthy(const common::endpoint& operators, std::chrono::milliseconds timeout);
result<daemon_sample> read_status(const std::string& daemon, const common::endpoint& operators,
                                  std::chrono::milliseconds timeout);
result<std::vector<telemetry::timeline_event>> read_timeline(const common::endpoint& operators);
result<void> block_links(const common::endpoint& operators, const std::vector<std::string>& addresses);

/// What became of a change.
struct change_answer {
    bool outcome_known = false; ///< False: the change may be repeated under the same id.
    bool accepted = false;
    bool duplicate = false;    ///< The change id was known before.
    std::uint64_t version = 0; ///< Version of the configuration at which the verdict was given.
    std::string text;          ///< Status and body, for messages.
};

/// The change that puts all resources of a document: a list, `{"resources": [...]}`, or one resource. A
/// document with `operations` is taken as it is.
result<std::string> change_from_document(std::string_view document, const std::string& change_id);
std::string change_that_deletes(const std::string& kind, const std::string& name,
                                const std::string& change_id);
result<change_answer> post_change(const common::endpoint& operators, const std::string& change);

/// Switches a fault of a stand-in on, or all off with `restore`. A slow target takes `delay` for work that
/// usually takes it 5 ms.
result<void> set_target_fault(const common::endpoint& target, const std::string& mode,
                              std::optional<std::chrono::milliseconds> delay);
result<void> set_platform_fault(const common::endpoint& platform, const std::string& mode,
                                std::optional<std::chrono::milliseconds> delay);
result<std::vector<ledger_entry>> read_ledger(const common::endpoint& target);

/// Headers of the stand-in target.
inline constexpr const char* id_header = "x-request-id";
inline constexpr const char* hold_header = "x-work-ms";
inline constexpr const char* target_header = "x-target";
inline constexpr const char* body_digest_header = "x-body-digest";
inline constexpr const char* received_digest_header = "x-received-digest";

/// Headers of the daemon.
inline constexpr const char* caller_header = "boragehollow-caller";
inline constexpr const char* outcome_header = "boragehollow-outcome";

} // namespace boragehollow::scenario::control_api
