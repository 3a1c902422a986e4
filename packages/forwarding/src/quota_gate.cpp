#include "boragehollow/forwarding/quota_gate.hpp"

#include "boragehollow/forwarding/quota_codec.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::forwarding {

namespace {

using std::chrono::milliseconds;
using telemetry::event_number;

/// The holder ends each wait; a call that it has forgotten ends this much later.
constexpr milliseconds wait_grace{40};

constexpr milliseconds min_tick_interval{1};

/// Longer than the interval of requests, so that their connections are used again.
constexpr milliseconds max_idle_time{6'000};

/// A reply holds at most the accounts of one group.
constexpr std::size_t max_reply_bytes = 1024 * 1024;

} // namespace

std::string_view to_string(quota::quota_refusal reason) {
    return reason == quota::quota_refusal::over_limit ? "over_limit" : "no_owner";
}

quota_gate::quota_gate(asio::io_context& context, connection_pool& control, std::string own_host,
                       const telemetry::event_log& events, telemetry::metric_registry& metrics)
    : m_context(context), m_control(control), m_own_host(std::move(own_host)), m_events(events),
      m_holder(m_settings, m_own_host, common::steady_clock::now()), m_tick_timer(context),
      m_requests(
          metrics.add_counter("boragehollow_quota_requests_total", "Requests for tokens to other daemons")),
      m_lost_replies(metrics.add_counter("boragehollow_quota_replies_lost_total",
                                         "Requests for tokens without a reply in time")),
      m_request_bytes(metrics.add_counter("boragehollow_quota_bytes_total",
                                          "Bytes of the bodies of requests for tokens and of their replies")),
      m_over_limit(metrics.add_counter("boragehollow_quota_refused_total",
                                       "Calls that got no token by reason", {{"reason", "over_limit"}})),
      m_without_owner(metrics.add_counter("boragehollow_quota_refused_total",
                                          "Calls that got no token by reason", {{"reason", "no_owner"}})),
      m_waits(metrics.add_counter("boragehollow_quota_waits_total", "Calls that waited for a token")) {}

void quota_gate::set_limits(quota::account_limits limits, common::revision version) {
    m_limits = std::move(limits);
    m_version = version;
    if (m_owner) {
        m_owner->update_limits(m_limits, m_version.value, common::steady_clock::now());
    }
    m_holder.update_limits(m_limits, m_version.value);
    schedule_tick();
}

void quota_gate::set_members(quota_members members) {
    const common::steady_time now = common::steady_clock::now();
    if (!m_owner) {
        m_owner.emplace(m_settings, members.own_process, now);
        m_owner->update_limits(m_limits, m_version.value, now);
    }
    m_peers = std::move(members.peers);
    m_owner->update_members(members.members, now);
    quota::holder_effects effects;
    m_holder.update_members(std::move(members.members), now, effects);
    perform(effects);
}

asio::awaitable<std::optional<quota_rejection>> quota_gate::admit(std::string account,
                                                                  common::steady_time deadline) {
    if (!m_holder.has_limit(account)) {
        co_return std::nullopt;
    }
    const std::uint64_t number = ++m_calls;
    quota::holder_effects effects;
    const auto result = m_holder.take(account, number, common::steady_clock::now(), effects);
    if (result == quota::take_result::taken) {
        perform(effects);
        co_return std::nullopt;
    }
    m_waits.add();
    const auto waiting = std::make_shared<waiting_call>(m_context);
    waiting->timer.expires_at(
        std::min(deadline, common::steady_clock::now() + m_settings.max_call_wait + wait_grace));
    m_waiting.emplace(number, waiting);
    perform(effects);
    if (!waiting->granted && !waiting->rejection) {
        error_code ignored;
        co_await waiting->timer.async_wait(redirect_error_to(ignored));
    }
    if (!waiting->granted && !waiting->rejection) {
        m_holder.cancel(account, number);
        m_waiting.erase(number);
        waiting->rejection = quota_rejection{quota::quota_refusal::no_owner, m_settings.request_interval};
    }
    if (waiting->rejection) {
        const bool over_limit = waiting->rejection->reason == quota::quota_refusal::over_limit;
        (over_limit ? m_over_limit : m_without_owner).add();
    }
    co_return waiting->rejection;
}

std::optional<std::string> quota_gate::serve(std::string_view body) {
    const auto request = decode_token_request(body);
    if (!request) {
        m_events.emit(event_number::peer_message_invalid, {{"request", quota_tokens_path}});
        return std::nullopt;
    }
    if (!m_owner || m_stopped) {
        return std::nullopt;
    }
    return encode(m_owner->handle(*request, common::steady_clock::now()));
}

std::vector<quota::account_grants> quota_gate::summarize() const {
    return m_owner ? m_owner->summarize(common::steady_clock::now()) : std::vector<quota::account_grants>();
}

void quota_gate::stop() {
    m_stopped = true;
    m_tick_timer.cancel();
    for (const auto& [number, waiting] : m_waiting) {
        waiting->timer.cancel();
    }
}

void quota_gate::perform(quota::holder_effects& effects) {
    for (quota::holder_effect& effect : effects) {
        std::visit([this](auto& concrete) { perform(concrete); }, effect);
    }
    schedule_tick();
}

void quota_gate::perform(quota::send_request& effect) {
    if (effect.host == m_own_host) {
        asio::post(m_context, [this, sent = std::move(effect)] { answer_own_request(sent); });
        return;
    }
    asio::co_spawn(m_context, exchange(std::move(effect.host), std::move(effect.request)), asio::detached);
}

void quota_gate::perform(const quota::call_granted& effect) {
    end_wait(effect.call, std::nullopt);
}

void quota_gate::perform(const quota::call_refused& effect) {
    end_wait(effect.call, quota_rejection{effect.reason, effect.retry_after});
}

void quota_gate::perform(const quota::owner_changed& effect) {
    m_events.emit(event_number::quota_owner_changed, {{"group", effect.group}, {"owner", effect.owner}});
}

void quota_gate::end_wait(std::uint64_t call, std::optional<quota_rejection> rejection) {
    const auto found = m_waiting.find(call);
    if (found == m_waiting.end()) {
        return;
    }
    found->second->granted = !rejection;
    found->second->rejection = rejection;
    found->second->timer.cancel();
    m_waiting.erase(found);
}

void quota_gate::answer_own_request(const quota::send_request& sent) {
    if (m_stopped || !m_owner) {
        return;
    }
    receive(sent.host, sent.request, m_owner->handle(sent.request, common::steady_clock::now()));
}

asio::awaitable<void> quota_gate::exchange(std::string host, quota::token_request request) {
    const auto peer = m_peers.find(host);
    if (peer == m_peers.end()) {
        asio::post(m_context, [this, host, request] { receive(host, request, std::nullopt); });
        co_return;
    }
    const common::endpoint remote = peer->second;
    request_message message{http::verb::post, "/boragehollow.control/" + std::string(quota_tokens_path), 11};
    message.set(http::field::host, common::to_string(remote));
    message.body() = shared_bytes(encode(request));
    message.prepare_payload();
    m_requests.add();
    m_request_bytes.add(message.body().size());
    exchange_options options;
    options.deadline = common::steady_clock::now() + m_settings.reply_timeout;
    options.connect_timeout = m_settings.reply_timeout;
    options.max_idle_time = max_idle_time;
    options.max_body_bytes = max_reply_bytes;
    const auto never_cancelled = std::make_shared<cancellation>();
    const auto response =
        co_await m_control.exchange(remote, std::move(message), std::move(options), never_cancelled);
    if (m_stopped) {
        co_return;
    }
    std::optional<quota::token_reply> reply;
    if (response && response->result() == http::status::ok) {
        m_request_bytes.add(response->body().size());
        reply = decode_token_reply(response->body().to_string());
    }
    if (!reply) {
        m_lost_replies.add();
    }
    receive(host, request, reply);
}

void quota_gate::receive(const std::string& host, const quota::token_request& request,
                         const std::optional<quota::token_reply>& reply) {
    quota::holder_effects effects;
    m_holder.receive(host, request.group, request.sequence, reply, common::steady_clock::now(), effects);
    perform(effects);
}

/// Waits for the holder's next wake-up, unless an earlier wait runs.
void quota_gate::schedule_tick() {
    const auto next = m_holder.next_wakeup();
    if (!next || m_stopped || (m_tick_time && *m_tick_time <= *next)) {
        return;
    }
    m_tick_time = std::max(*next, common::steady_clock::now() + min_tick_interval);
    m_tick_timer.expires_at(*m_tick_time);
    m_tick_timer.async_wait([this](const error_code& error) {
        if (error || m_stopped) {
            return;
        }
        m_tick_time.reset();
        quota::holder_effects effects;
        m_holder.tick(common::steady_clock::now(), effects);
        perform(effects);
    });
}

} // namespace boragehollow::forwarding
