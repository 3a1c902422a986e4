#pragma once

#include "boragehollow/common/revision.hpp"
#include "boragehollow/forwarding/connection_pool.hpp"
#include "boragehollow/quota/token_holder.hpp"
#include "boragehollow/quota/token_owner.hpp"
#include "boragehollow/telemetry/event_log.hpp"
#include "boragehollow/telemetry/metrics.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::forwarding {

/// The daemons of the mesh, for the limits of accounts.
struct quota_members {
    quota::mesh_members members;
    std::map<std::string, common::endpoint> peers; ///< Control endpoints of the live daemons.
    std::uint64_t own_process = 0;                 ///< As in `members` of the other daemons.

    bool operator==(const quota_members&) const = default;
};

/// A call that runs no attempt, since its account has no token.
struct quota_rejection {
    quota::quota_refusal reason = quota::quota_refusal::over_limit;
    std::chrono::milliseconds retry_after{};
};

std::string_view to_string(quota::quota_refusal reason);

/// Path of the control request for tokens.
inline constexpr std::string_view quota_tokens_path = "quota-tokens";

/// Admits the calls of accounts with a limit: holds this daemon's tokens, asks their owners for more, and
/// answers the requests of other daemons as an owner. Used on the thread that runs `context`.
class quota_gate {
public:
    quota_gate(asio::io_context& context, connection_pool& control, std::string own_host,
               const telemetry::event_log& events, telemetry::metric_registry& metrics);
    quota_gate(const quota_gate&) = delete;
    quota_gate& operator=(const quota_gate&) = delete;

    void set_limits(quota::account_limits limits, common::revision version);
    void set_members(quota_members members);

    /// Waits for a token until the deadline at the latest; returns nothing when the call may run.
    asio::awaitable<std::optional<quota_rejection>> admit(std::string account, common::steady_time deadline);

    /// Body of the reply to a control request, or nothing when it is invalid or the mesh is not known yet.
    std::optional<std::string> serve(std::string_view body);

    /// Use of the accounts of which this daemon is an owner.
    std::vector<quota::account_grants> summarize() const;

    /// Ends the waits and grants nothing any more.
    void stop();

private:
    struct waiting_call {
        explicit waiting_call(asio::io_context& context) : timer(context) {}
        asio::steady_timer timer; ///< Cancelled when the wait ends.
        bool granted = false;
        std::optional<quota_rejection> rejection;
    };
    using waiting_call_ptr = std::shared_ptr<waiting_call>;

    void perform(quota::holder_effects& effects);
    void perform(quota::send_request& effect);
    void perform(const quota::call_granted& effect);
    void perform(const quota::call_refused& effect);
    void perform(const quota::owner_changed& effect);
    asio::awaitable<void> exchange(std::string host, quota::token_request request);
    void answer_own_request(const quota::send_request& sent);
    void receive(const std::string& host, const quota::token_request& request,
                 const std::optional<quota::token_reply>& reply);
    void schedule_tick();
    void end_wait(std::uint64_t call, std::optional<quota_rejection> rejection);

    asio::io_context& m_context;
    connection_pool& m_control;
    std::string m_own_host;
    const telemetry::event_log& m_events;
    quota::quota_settings m_settings;
    quota::token_holder m_holder;
    std::optional<quota::token_owner> m_owner; ///< Empty until the members are known.
    quota::account_limits m_limits;
    common::revision m_version;
    std::map<std::string, common::endpoint> m_peers;
    std::map<std::uint64_t, waiting_call_ptr> m_waiting; ///< By the number of the call.
    std::uint64_t m_calls = 0;
    asio::steady_timer m_tick_timer;
    std::optional<common::steady_time> m_tick_time;
    bool m_stopped = false;
    telemetry::counter& m_requests;
    telemetry::counter& m_lost_replies;
    telemetry::counter& m_request_bytes;
    telemetry::counter& m_over_limit;
    telemetry::counter& m_without_owner;
    telemetry::counter& m_waits;
};

} // namespace boragehollow::forwarding
