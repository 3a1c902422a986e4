#pragma once

#include "boragehollow/balancing/balancer.hpp"
#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/reply_slot.hpp"
#include "boragehollow/daemon/change_notifications.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace boragehollow::daemon {

using selection_result = tl::expected<balancing::attempt_target, balancing::selection_error>;

/// Requests the selection of a target for an attempt.
struct choose_target {
    balancing::attempt_request request;
    common::reply_slot<selection_result> reply;
};

struct attempt_ended {
    balancing::attempt_result result;
};

struct service_report {
    std::string service;
    balancing::service_counters counters;
    std::vector<balancing::target_status> targets;
};

struct query_dispatch {
    common::reply_slot<std::vector<service_report>> reply;
};

using dispatch_message =
    std::variant<choose_target, attempt_ended, config_changed, targets_changed, query_dispatch>;

/// Thread that owns the balancer and selects targets for the threads that serve callers.
class dispatch_duty {
public:
    dispatch_duty(const balancing::balancer_settings& settings, common::random_source random,
                  std::size_t ring_size);
    ~dispatch_duty();

    /// Processes the queued messages and joins the thread. No sink is called afterwards.
    void stop();

    common::bounded_ring<dispatch_message>& ring() { return m_ring; }

    /// Sends the request and waits for the reply. Empty when the ring is full or the deadline passed; nothing
    /// was run in either case.
    std::optional<selection_result> choose(balancing::attempt_request request, common::steady_time deadline);

private:
    void run();
    void handle(choose_target& message, common::steady_time now);
    void handle(const attempt_ended& message, common::steady_time now);
    void handle(const config_changed& message, common::steady_time now);
    void handle(const targets_changed& message, common::steady_time now);
    void handle(const query_dispatch& message, common::steady_time now);
    void update_services(const config::config_snapshot& snapshot, common::steady_time now);

    balancing::balancer m_balancer;
    std::string m_failure_domain;
    std::map<std::string, common::revision>
        m_service_revisions; ///< Newest revision among a policy and its rules, by service.
    std::map<std::string, std::size_t> m_rule_counts;
    std::shared_ptr<const membership::target_directory> m_directory;
    common::bounded_ring<dispatch_message> m_ring;
    common::duty m_thread;
};

} // namespace boragehollow::daemon
