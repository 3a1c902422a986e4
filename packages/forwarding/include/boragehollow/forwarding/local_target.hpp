#pragma once

#include "boragehollow/admission/admission_controller.hpp"
#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/forwarding/account_gate.hpp"
#include "boragehollow/forwarding/call_log.hpp"
#include "boragehollow/forwarding/connection_pool.hpp"
#include "boragehollow/forwarding/header_names.hpp"
#include "boragehollow/forwarding/mesh_headers.hpp"
#include "boragehollow/forwarding/session_messages.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace boragehollow::forwarding {

/// Reason of a refusal that the caller's daemon reports as status 401.
constexpr std::string_view key_revoked_reason = "key_revoked";

/// Announcement of the target on this host.
struct target_instance {
    std::string id;
    common::endpoint address;
    std::string service;
    std::uint32_t slots = 1;
    admission::target_state state = admission::target_state::ready;

    bool operator==(const target_instance&) const = default;
};

/// Admits calls to the target on this host and sends them to it. All calls to the target pass through here,
/// so that admission sees every slot in use, draining and every duplicate call.
class local_target {
public:
    /// `link_megabits` is the bandwidth of this host's link, in Mbit/s.
    /// `on_unreachable` is called when the target refuses a connection or responds with status 421.
    /// `host` is the host of this daemon.
    local_target(asio::io_context& context, std::string host, header_names names,
                 const account_gate& accounts, admission::admission_settings settings, double link_megabits,
                 const telemetry::event_log& events, std::function<void()> on_unreachable);

    void set_instance(std::optional<target_instance> instance);
    void set_policy(const config::admission_policy& policy);
    /// Refuses queued calls and all later ones; running calls continue.
    void start_drain();

    /// Reserves link time for a large body that will be sent to this host. The response consists of response
    /// metadata only.
    response_message reserve_transfer(const call_metadata& call, std::size_t bytes);

    /// Admits the call and runs it. The response carries response metadata. A large response for another host
    /// waits for its turn on this host's link.
    asio::awaitable<session_response> run(call_metadata call, request_message request,
                                          cancellation_ptr cancelled);

    void set_config_version(common::revision version) { m_config_version = version; }
    bool idle() const { return m_admission.idle(); }
    admission::admission_status status() const { return m_admission.status(); }
    double repeated_share() const { return m_admission.repeated_share(); }
    const pool_counters& connections() const { return m_pool.counters(); }
    void close_expired(common::steady_time now) { m_pool.close_expired(now); }

private:
    struct waiter;
    struct target_attempt;

    asio::awaitable<admission::effect> admit(admission::admission_request request,
                                             cancellation_ptr cancelled);
    asio::awaitable<target_attempt> send(const call_metadata& call, request_message request,
                                         common::steady_time deadline, cancellation_ptr cancelled);
    void apply(const admission::admission_controller::effects& effects);
    void schedule_tick();
    response_message make_response(response_metadata metadata, std::optional<response_message> response);
    std::optional<std::chrono::milliseconds> busy_link_wait(const call_metadata& call,
                                                            common::steady_time now) const;
    response_message busy_link_response(const call_metadata& call, std::size_t bytes,
                                        std::chrono::milliseconds wait);
    response_message revoked_key_response(const call_metadata& call);
    asio::awaitable<session_response> send_on_link(const call_metadata& call, response_message response);
    response_message refusal_response(const call_metadata& call, const admission::refused& reason,
                                      common::steady_time now);
    void prepare_request(const call_metadata& call, common::steady_time deadline,
                         request_message& request) const;

    asio::io_context& m_context;
    std::string m_host;
    header_names m_names;
    const account_gate& m_accounts;
    call_log m_log;
    std::function<void()> m_on_unreachable;
    admission::admission_controller m_admission;
    admission::transfer_schedule m_incoming; ///< Large request bodies from other hosts.
    admission::transfer_schedule m_outgoing; ///< Large response bodies to other hosts.
    double m_mean_long_response_bytes = 0;   ///< Of long calls, which may have large responses.
    connection_pool m_pool;
    std::optional<target_instance> m_instance;
    common::revision m_config_version;
    std::map<admission::admission_id, std::shared_ptr<waiter>> m_waiters;
    std::uint64_t m_next_admission_id = 1;
    asio::steady_timer m_tick;
    common::steady_time m_tick_at = common::steady_time::max();
};

} // namespace boragehollow::forwarding
