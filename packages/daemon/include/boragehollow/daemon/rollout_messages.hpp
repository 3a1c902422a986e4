#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/reply_slot.hpp"
#include "boragehollow/rollout/coordinator.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace boragehollow::daemon {

inline constexpr const char* rollout_report_path = "rollout-report";
inline constexpr const char* rollout_plans_path = "rollout-plans";

using control_reply = std::function<void(std::optional<std::string>)>;

/// Status that the operator reads.
enum class rollout_status { running, completed, rolled_back };

/// An order was read from the store. `just_written` is false if its age is unknown.
struct order_received {
    rollout::order requested;
    bool just_written = true;
};

/// Another daemon sent its plans. The reply contains the plans of this daemon.
struct plans_received {
    std::string body;
    control_reply send_reply;
};

/// Another daemon replied to a request with its plans.
struct plans_replied {
    std::string body;
};

/// The daemon of a target sent its report. The reply contains the plan of the service.
struct report_received {
    std::string body;
    control_reply send_reply;
};

/// The forwarder made the report of the local target; empty if there is no plan of its service.
struct local_report_made {
    std::optional<rollout::report> made;
};

/// End of the request that delivered a report.
struct report_delivered {
    std::string service;
    std::optional<std::string> reply;
};

/// End of the request that sent the plan of a service to a host.
struct plan_delivered {
    std::string service;
    std::string host;
    std::uint64_t revision = 0;
    bool delivered = false;
};

/// A daemon refused a call by a plan that may be newer than that of this daemon.
struct newer_plan_suspected {
    common::endpoint peer;
};

/// This daemon has the member table of another one and can ask it for plans.
struct mesh_known {};

/// The status that stands in the store after a write; empty when the write failed.
struct status_written {
    std::string service;
    std::uint64_t order_offset = 0;
    rollout_status wanted = rollout_status::running;
    std::optional<rollout_status> standing;
};

/// The newest stage in the store; an error when the store did not respond.
struct stage_read {
    std::string service;
    tl::expected<std::optional<rollout::stage_record>, std::string> recorded;
};

/// State of a roll-out for operators. The counts are known to its coordinator only.
struct rollout_overview {
    rollout::plan current;
    bool coordinating = false;
    std::uint64_t admitted = 0;
    std::uint64_t bad_responses = 0;
    rollout::rollback_reason reason = rollout::rollback_reason::none;
    std::vector<rollout::order> waiting;
};

struct overview_requested {
    common::reply_slot<std::vector<rollout_overview>> reply;
};

using rollout_message =
    std::variant<order_received, plans_received, plans_replied, report_received, local_report_made,
                 report_delivered, plan_delivered, newer_plan_suspected, mesh_known, status_written,
                 stage_read, overview_requested>;

/// Appends the status unless the result of the order stands there.
struct write_status {
    std::string service;
    std::string version;
    std::uint64_t order_offset = 0;
    rollout_status wanted = rollout_status::running;
};

struct write_stage {
    rollout::stage_record record;
};

struct read_stage {
    std::string service;
};

using rollout_record_message = std::variant<write_status, write_stage, read_stage>;

} // namespace boragehollow::daemon
