#pragma once

#include "boragehollow/admission/admission_controller.hpp"
#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/forwarding/call_log.hpp"
#include "boragehollow/forwarding/connection_pool.hpp"
#include "boragehollow/forwarding/header_names.hpp"
#include "boragehollow/forwarding/hop_headers.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace boragehollow::forwarding {

/// The target on this host as it announced itself.
struct target_instance {
    std::string id;
    common::endpoint address;
    std::string service;
    std::uint32_t slots = 1;
    admission::target_state state = admission::target_state::ready;

    bool operator==(const target_instance&) const = default;
};

/// Admits calls to the target on this host and exchanges them with it. It is the only way to that target, so
/// that slots, leaving and repeated calls are decided here alone.
class local_target {
public:
    /// `unreachable` is told when the target refuses connections.
    /// `link_megabits` is the rate of this host's link, in Mbit/s.
    local_target(asio::io_context& context, header_names names, admission::admission_settings settings,
                 double link_megabits, const telemetry::event_log& events, std::function<void()> unreachable);

    void set_instance(std::optional<target_instance> instance);
    void set_policy(const config::admission_policy& policy);
    /// Refuses what is queued and all later calls; calls at the target continue.
    void start_drain();

    /// Books the transfer of a large body to this host. The response carries a hop report and nothing else.
    response_message reserve(const hop_call& call, std::size_t bytes);

    /// The response carries a hop report.
    asio::awaitable<response_message> run(hop_call call, request_message request, cancellation_ptr cancelled);

    void set_config_version(common::revision version) { m_config_version = version; }
    bool idle() const { return m_admission.idle(); }
    admission::admission_status status() const { return m_admission.status(); }
    const pool_counters& connections() const { return m_pool.counters(); }
    void expire(common::steady_time now) { m_pool.expire(now); }

private:
    struct waiter;
    struct finished_attempt;

    asio::awaitable<admission::effect> admit(admission::admission_request request,
                                             cancellation_ptr cancelled);
    asio::awaitable<finished_attempt> send(const hop_call& call, request_message request,
                                           common::steady_time deadline, cancellation_ptr cancelled);
    void apply(const admission::admission_controller::effects& effects);
    void schedule_tick();
    response_message report(hop_report report, std::optional<response_message> response) const;
    response_message refusal(const hop_call& call, const admission::refused& reason, common::steady_time now);
    void prepare(const hop_call& call, common::steady_time deadline, request_message& request) const;

    asio::io_context& m_context;
    header_names m_names;
    call_log m_log;
    std::function<void()> m_unreachable;
    admission::admission_controller m_admission;
    admission::transfer_schedule m_transfers;
    connection_pool m_pool;
    std::optional<target_instance> m_instance;
    common::revision m_config_version;
    std::map<admission::admission_id, std::shared_ptr<waiter>> m_waiters;
    std::uint64_t m_next_admission_id = 1;
    asio::steady_timer m_tick;
    common::steady_time m_tick_at = common::steady_time::max();
};

} // namespace boragehollow::forwarding
