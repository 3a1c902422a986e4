#include "boragehollow/daemon/rollout_duty.hpp"

#include "boragehollow/codec/rollout_codec.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::daemon {

using std::chrono::milliseconds;
using telemetry::event_number;

namespace {

constexpr milliseconds coordinating_interval{150};
constexpr milliseconds following_interval{300};

/// Interval of the checks whether a final plan is still needed.
constexpr milliseconds retention_check_interval{5'000};

/// A final plan is kept at least this long: old targets may be listed after their end.
constexpr milliseconds min_retention{20'000};

/// Refusals by a newer plan come in numbers; one request for it is enough.
constexpr milliseconds plan_request_interval{200};

/// Bounds the memory where another program sends plans of many services.
constexpr std::size_t max_services = 1'000;

/// Time after which a report without a reply counts as lost.
constexpr milliseconds report_reply_timeout{800};

} // namespace

rollout_duty::rollout_duty(rollout_duty_settings settings, rollout_sinks sinks,
                           const telemetry::event_log& events, telemetry::metric_registry& metrics)
    : m_settings(std::move(settings)), m_sinks(std::move(sinks)), m_events(events), m_metrics(metrics),
      m_ring(m_settings.ring_size), m_thread("rollout", [this](const std::stop_token& stop) { run(stop); }) {}

rollout_duty::~rollout_duty() {
    stop();
}

void rollout_duty::stop() {
    m_thread.request_stop();
    m_ring.close();
    m_thread.join();
}

std::optional<common::steady_time> rollout_duty::next_wakeup() const {
    const bool idle = std::ranges::all_of(
        m_services, [](const auto& entry) { return !entry.second.plan && entry.second.orders.empty(); });
    return idle ? std::nullopt : std::optional(m_next_tick);
}

void rollout_duty::run(const std::stop_token& stop) {
    while (!stop.stop_requested()) {
        const auto wakeup = next_wakeup();
        auto message = wakeup ? m_ring.pop_until(*wakeup) : m_ring.pop();
        if (message) {
            std::visit([this](auto& concrete) { handle(concrete); }, *message);
        }
        const common::steady_time now = common::steady_clock::now();
        if (next_wakeup() && now >= m_next_tick) {
            tick(now);
        }
    }
}

void rollout_duty::tick(common::steady_time now) {
    const auto mesh = m_sinks.mesh();
    milliseconds interval = retention_check_interval;
    if (mesh) {
        for (auto& [service, state] : m_services) {
            start_orders(service, state, *mesh, now);
            take_over_if_lost(service, state, *mesh, now);
            coordinate(service, state, *mesh, now);
            send_plan(service, state, *mesh, now);
        }
    }
    request_report_if_due(now);
    for (auto entry = m_services.begin(); entry != m_services.end();) {
        service_state& state = entry->second;
        const bool active = !state.orders.empty() || (state.plan && !is_final(state.plan->position.current));
        const bool sending = mesh && state.broadcast.revision() != 0 && !state.broadcast.complete(*mesh);
        if (state.coordinator || sending) {
            interval = std::min(interval, coordinating_interval);
        } else if (active) {
            interval = std::min(interval, following_interval);
        }
        if (active || !state.plan || now - state.plan_received < min_retention) {
            ++entry;
            continue;
        }
        const auto targets = mesh ? targets_of(entry->first, *mesh) : std::vector<rollout::version_target>();
        const bool withheld_target = std::ranges::any_of(targets, [&](const rollout::version_target& target) {
            return use_of(*state.plan, target.version) == rollout::version_use::unused;
        });
        if (withheld_target) {
            ++entry;
            continue;
        }
        m_sinks.remove(entry->first);
        state.plan.reset();
        state.broadcast = plan_broadcast();
        ++entry;
    }
    m_next_tick = now + interval;
}

rollout::plan rollout_duty::plan_at(const service_state& state, common::steady_time now) const {
    if (state.coordinator) {
        return state.coordinator->plan_at(now);
    }
    rollout::plan result = *state.plan;
    result.elapsed += std::chrono::duration_cast<milliseconds>(now - state.plan_received);
    return result;
}

std::vector<rollout::plan> rollout_duty::plans(common::steady_time now) const {
    std::vector<rollout::plan> all;
    for (const auto& [service, state] : m_services) {
        if (state.plan) {
            all.push_back(plan_at(state, now));
        }
    }
    return all;
}

void rollout_duty::adopt_all(const std::string& body) {
    const auto received = codec::decode_plans(body);
    if (!received) {
        m_events.emit(event_number::rollout_message_invalid, {{"detail", received.error()}});
        return;
    }
    for (const rollout::plan& plan : *received) {
        adopt(plan, common::steady_clock::now());
    }
}

/// Takes over a plan of another daemon if it is newer, and confirms the present one otherwise.
void rollout_duty::adopt(const rollout::plan& received, common::steady_time now) {
    if (!m_services.contains(received.service) && m_services.size() >= max_services) {
        return;
    }
    service_state& state = m_services[received.service];
    if (state.plan && received.position < state.plan->position) {
        return;
    }
    const bool same = state.plan && received.position == state.plan->position;
    if (same && (state.coordinator || is_final(received.position.current))) {
        return;
    }
    const bool superseded = !same && state.coordinator;
    if (superseded) {
        m_events.emit(event_number::rollout_coordinator_replaced,
                      {{"service", received.service}, {"coordinator", received.coordinator}});
        state.coordinator.reset();
        state.broadcast = plan_broadcast();
    }
    if (!state.plan || received.coordinator != state.plan->coordinator) {
        state.reports_failed = 0;
        state.reports_of_loss.clear();
    }
    const bool same_stage = state.plan &&
                            received.position.order_offset == state.plan->position.order_offset &&
                            received.position.current == state.plan->position.current;
    if (!same_stage) {
        m_next_tick = std::min(m_next_tick, now);
    }
    state.loss_noticed.reset();
    state.plan = received;
    state.plan_received = now;
    const std::uint64_t offset = received.position.order_offset;
    std::erase_if(state.orders,
                  [offset](const waiting_order& order) { return order.requested.offset <= offset; });
    if (is_final(received.position.current)) {
        state.decided_offset = std::max(state.decided_offset, offset);
    }
    m_sinks.apply(received);
}

void rollout_duty::request_plans(const common::endpoint& peer) {
    m_sinks.send(peer, rollout_plans_path, codec::encode_plans({}), [this](std::optional<std::string> body) {
        if (body) {
            m_ring.try_push(plans_replied{std::move(*body)});
        }
    });
}

void rollout_duty::handle(order_received& message) {
    const rollout::order& requested = message.requested;
    service_state& state = m_services[requested.service];
    const std::uint64_t known = state.plan ? state.plan->position.order_offset + 1 : 0;
    const bool present = std::ranges::any_of(
        state.orders, [&](const waiting_order& order) { return order.requested.offset == requested.offset; });
    const bool decided = state.decided_offset != 0 && requested.offset <= state.decided_offset;
    if (present || decided || requested.offset + 1 <= known) {
        return;
    }
    m_events.emit(event_number::rollout_ordered, {{"service", requested.service},
                                                  {"version", requested.version},
                                                  {"offset", requested.offset},
                                                  {"allowed", requested.allowed}});
    waiting_order added;
    added.requested = requested;
    added.received = common::steady_clock::now();
    added.age_known = message.just_written;
    state.orders.push_back(std::move(added));
    std::ranges::sort(state.orders, {}, [](const waiting_order& order) { return order.requested.offset; });
    m_next_tick = common::steady_clock::now();
}

void rollout_duty::handle(plans_received& message) {
    const auto received = codec::decode_plans(message.body);
    if (!received) {
        m_events.emit(event_number::rollout_message_invalid, {{"detail", received.error()}});
        message.send_reply(std::nullopt);
        return;
    }
    const common::steady_time now = common::steady_clock::now();
    for (const rollout::plan& plan : *received) {
        adopt(plan, now);
    }
    std::vector<rollout::plan> known = plans(now);
    // Whoever sends a plan needs only what is newer than it.
    std::erase_if(known, [&](const rollout::plan& own) {
        return !received->empty() && !std::ranges::any_of(*received, [&](const rollout::plan& sent) {
            return sent.service == own.service && sent.position < own.position;
        });
    });
    message.send_reply(codec::encode_plans(known));
}

void rollout_duty::handle(plans_replied& message) {
    adopt_all(message.body);
}

void rollout_duty::handle(report_received& message) {
    const auto received = codec::decode_report(message.body);
    if (!received) {
        m_events.emit(event_number::rollout_message_invalid, {{"detail", received.error()}});
        message.send_reply(std::nullopt);
        return;
    }
    const common::steady_time now = common::steady_clock::now();
    const auto found = m_services.find(received->service);
    if (found == m_services.end() || !found->second.plan) {
        message.send_reply(codec::encode_plans({}));
        return;
    }
    service_state& state = found->second;
    if (state.coordinator) {
        state.coordinator->record_report(*received, now);
    }
    if (received->coordinator_lost) {
        state.reports_of_loss[received->host] = now;
    }
    message.send_reply(codec::encode_plans({plan_at(state, now)}));
}

void rollout_duty::handle(plan_delivered& message) {
    const auto found = m_services.find(message.service);
    if (found != m_services.end()) {
        found->second.broadcast.record_delivery(message.host, message.revision, message.delivered);
    }
}

void rollout_duty::handle(newer_plan_suspected& message) {
    const common::steady_time now = common::steady_clock::now();
    if (now < m_next_plan_request) {
        return;
    }
    m_next_plan_request = now + plan_request_interval;
    request_plans(message.peer);
}

/// A daemon that starts asks a few others: those of roll-outs in progress send their plans to it, too, but
/// only when they see it.
void rollout_duty::handle(mesh_known&) {
    const auto mesh = m_sinks.mesh();
    if (!mesh) {
        return;
    }
    for (const std::string& host : mesh->readers(mesh->own_domain)) {
        const membership::member* member = mesh->find(host);
        if (member != nullptr && host != mesh->own_host) {
            request_plans(member->peer);
        }
    }
}

void rollout_duty::handle(overview_requested& message) {
    const common::steady_time now = common::steady_clock::now();
    std::vector<rollout_overview> all;
    for (const auto& [service, state] : m_services) {
        if (!state.plan) {
            continue;
        }
        rollout_overview one;
        one.current = plan_at(state, now);
        one.coordinating = state.coordinator != nullptr;
        if (state.coordinator) {
            one.admitted = state.coordinator->admitted_new();
            one.bad_responses = state.coordinator->bad_responses();
            one.reason = state.coordinator->reason();
        }
        for (const waiting_order& order : state.orders) {
            one.waiting.push_back(order.requested);
        }
        all.push_back(std::move(one));
    }
    message.reply.set(std::move(all));
}

// Reports of the local target.

void rollout_duty::request_report_if_due(common::steady_time now) {
    const bool active = std::ranges::any_of(m_services, [](const auto& entry) {
        return entry.second.plan && !is_final(entry.second.plan->position.current);
    });
    if (!active || now < m_next_report) {
        return;
    }
    // The margin keeps the ticks of a daemon that follows in step with its reports.
    m_next_report = now + following_interval - coordinating_interval / 2;
    m_sinks.request_report();
}

void rollout_duty::handle(local_report_made& message) {
    if (!message.made) {
        return;
    }
    const auto found = m_services.find(message.made->service);
    const bool wanted =
        found != m_services.end() && found->second.plan && !is_final(found->second.plan->position.current);
    if (wanted) {
        deliver(*message.made, found->second, common::steady_clock::now());
    }
}

/// The coordinator of the plan; after two lost reports the daemons that may replace it, one after the other.
std::optional<common::endpoint> rollout_duty::report_destination(const service_state& state,
                                                                 const mesh_view& mesh) const {
    std::string host = state.plan->coordinator;
    if (state.reports_failed >= 2) {
        std::vector<std::string> others = coordinators(state.plan->service, mesh);
        std::erase(others, host);
        std::erase(others, mesh.own_host);
        if (!others.empty()) {
            host = others[(state.reports_failed - 2) % others.size()];
        }
    }
    const membership::member* member = mesh.find(host);
    return member == nullptr ? std::nullopt : std::optional(member->peer);
}

void rollout_duty::deliver(const rollout::report& made, service_state& state, common::steady_time now) {
    if (state.coordinator) {
        state.coordinator->record_report(made, now);
        return;
    }
    const auto mesh = m_sinks.mesh();
    if (!mesh || now < state.report_timeout) {
        return;
    }
    const auto peer = report_destination(state, *mesh);
    if (!peer) {
        // This daemon does not know the coordinator's host yet.
        return;
    }
    rollout::report sent = made;
    sent.coordinator_lost = state.reports_failed >= 2;
    if (sent.coordinator_lost) {
        state.reports_of_loss[m_settings.host] = now;
    }
    state.report_timeout = now + report_reply_timeout;
    m_sinks.send(*peer, rollout_report_path, codec::encode_report(sent),
                 [this, service = made.service](std::optional<std::string> reply) {
                     m_ring.try_push(report_delivered{service, std::move(reply)});
                 });
}

void rollout_duty::handle(report_delivered& message) {
    service_state& state = m_services[message.service];
    state.report_timeout = {};
    // A coordinator that was restarted may not know the plan yet.
    const bool without_plan = message.reply && *message.reply == codec::encode_plans({});
    if (!message.reply || without_plan) {
        ++state.reports_failed;
        return;
    }
    const std::uint32_t failed = state.reports_failed;
    adopt_all(*message.reply);
    // A reply of another daemon than the coordinator does not mean that the coordinator is back.
    state.reports_failed = failed >= 2 && state.reports_failed == failed ? failed + 1 : 0;
}

} // namespace boragehollow::daemon
