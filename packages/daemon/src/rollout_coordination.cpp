#include "boragehollow/daemon/rollout_duty.hpp"

#include "boragehollow/codec/rollout_codec.hpp"
#include "boragehollow/common/rendezvous.hpp"

#include <algorithm>
#include <utility>

// The part of the duty that coordinates roll-outs.

namespace boragehollow::daemon {

using std::chrono::milliseconds;
using telemetry::event_number;

namespace {

/// Time that each daemon leaves to the one before it in the order of succession.
constexpr milliseconds succession_delay{700};

/// Rank of a daemon that is no log reader but has read an order.
constexpr std::size_t last_rank = 8;

/// Hosts that report the loss of the coordinator before another one takes its place, and how long a report
/// counts.
constexpr std::size_t min_reports_of_loss = 2;
/// In a large service, a few daemons that are cut off or overloaded do not mean that the coordinator is lost.
constexpr std::size_t targets_per_report_of_loss = 5;
constexpr milliseconds report_of_loss_lifetime{2'000};

/// A write to the store takes a read and an append of at most 1.5 s each.
constexpr milliseconds record_timeout{3'200};
constexpr milliseconds record_retry_interval{400};

/// No call runs longer at a target that has left. Its host may have another target by then, and reports on
/// that.
constexpr std::chrono::seconds max_call_time{10};

const std::string version_label = "version";

} // namespace

std::vector<std::string> rollout_duty::coordinators(const std::string& service, const mesh_view& mesh) const {
    std::vector<std::string> readers;
    for (const std::string& domain : mesh.failure_domains()) {
        const std::vector<std::string> chosen = mesh.readers(domain);
        readers.insert(readers.end(), chosen.begin(), chosen.end());
    }
    return common::rendezvous_choices("rollout/" + service, readers, readers.size());
}

std::optional<std::size_t> rollout_duty::own_rank(const std::string& service, const mesh_view& mesh,
                                                  const std::string& without) const {
    std::vector<std::string> hosts = coordinators(service, mesh);
    std::erase(hosts, without);
    const auto own = std::ranges::find(hosts, mesh.own_host);
    return own == hosts.end() ? std::nullopt : std::optional(static_cast<std::size_t>(own - hosts.begin()));
}

std::vector<rollout::version_target> rollout_duty::targets_of(const std::string& service,
                                                              const mesh_view& mesh) const {
    std::vector<rollout::version_target> result;
    const auto directory = m_sinks.targets();
    if (!directory) {
        return result;
    }
    const common::steady_time now = common::steady_clock::now();
    for (const membership::target& target : directory->targets_of(service)) {
        const auto version = target.labels.find(version_label);
        const membership::member* member = mesh.find(target.host);
        rollout::version_target one;
        one.host = target.host;
        one.version = version == target.labels.end() ? std::string() : version->second;
        one.known_since = target.first_seen;
        one.ready = target.state == membership::target_state::ready &&
                    !(target.lost_since && *target.lost_since >= target.first_seen);
        const bool left_long_ago =
            !one.ready && target.lost_since && now - *target.lost_since > max_call_time;
        one.alive = member != nullptr && mesh.reachable(*member) && !left_long_ago;
        result.push_back(std::move(one));
    }
    return result;
}

/// Versions that take no calls while `version` is brought in: those of waiting orders, one that was rolled
/// back, and those that the last completed roll-out replaced.
std::set<std::string> rollout_duty::withheld_versions(const std::string& service, const service_state& state,
                                                      const std::string& version) const {
    std::set<std::string> withheld;
    for (const waiting_order& order : state.orders) {
        withheld.insert(order.requested.version);
    }
    if (state.plan) {
        const rollout::plan& last = *state.plan;
        withheld.insert(last.withheld.begin(), last.withheld.end());
        const auto directory = m_sinks.targets();
        const membership::target_list none;
        for (const membership::target& target : directory ? directory->targets_of(service) : none) {
            const auto label = target.labels.find(version_label);
            const std::string own = label == target.labels.end() ? std::string() : label->second;
            if (is_final(last.position.current) && use_of(last, own) == rollout::version_use::unused) {
                withheld.insert(own);
            }
        }
        if (last.position.current == rollout::stage::completed) {
            withheld.erase(last.version);
        }
    }
    withheld.erase(version);
    return withheld;
}

void rollout_duty::start_orders(const std::string& service, service_state& state, const mesh_view& mesh,
                                common::steady_time now) {
    if (state.orders.empty()) {
        return;
    }
    if (state.coordinator) {
        state.coordinator->set_order_waiting(true);
        state.coordinator->set_withheld(
            withheld_versions(service, state, state.coordinator->current().version));
        return;
    }
    if (state.plan && !is_final(state.plan->position.current)) {
        return;
    }
    while (state.orders.size() > 1) {
        m_events.emit(event_number::rollout_order_superseded,
                      {{"service", service}, {"offset", state.orders.front().requested.offset}});
        state.orders.pop_front();
    }
    waiting_order& next = state.orders.front();
    const std::size_t rank = own_rank(service, mesh, {}).value_or(last_rank);
    const common::steady_time since =
        state.plan ? std::max(next.received, state.plan_received) : next.received;
    if (now < since + succession_delay * rank || now < next.retry_at) {
        return;
    }
    if (next.age_known) {
        const waiting_order order = next;
        start(service, state, order, std::nullopt, now);
        return;
    }
    // The order may be decided already, or in progress in a mesh that has started again.
    next.retry_at = now + record_timeout;
    next.stage_requested = true;
    m_sinks.record(read_stage{service});
}

void rollout_duty::handle(stage_read& message) {
    const common::steady_time now = common::steady_clock::now();
    service_state& state = m_services[message.service];
    const bool wanted = !state.orders.empty() && state.orders.front().stage_requested && !state.coordinator;
    if (!wanted) {
        return;
    }
    waiting_order order = state.orders.front();
    if (!message.recorded) {
        state.orders.front().retry_at = now + record_retry_interval;
        return;
    }
    const auto& recorded = *message.recorded;
    const bool decided =
        recorded && (recorded->order_offset > order.requested.offset ||
                     (recorded->order_offset == order.requested.offset && is_final(recorded->current)));
    if (!decided) {
        start(message.service, state, order, recorded, now);
        return;
    }
    state.decided_offset = std::max(state.decided_offset, order.requested.offset);
    state.orders.pop_front();
    if (recorded->order_offset == order.requested.offset &&
        recorded->current == rollout::stage::rolled_back && !state.plan) {
        // The targets of the version may still be there.
        rollout::plan known;
        known.service = message.service;
        known.version = recorded->version;
        known.position = {recorded->order_offset, recorded->current, 0, 1};
        known.coordinator = m_settings.host;
        known.allowed = recorded->allowed;
        adopt(known, now);
        state.broadcast.start(++m_broadcasts);
    }
}

void rollout_duty::start(const std::string& service, service_state& state, const waiting_order& order,
                         const std::optional<rollout::stage_record>& recorded, common::steady_time now) {
    const bool continued = recorded && recorded->order_offset == order.requested.offset;
    common::steady_time ordered = order.age_known ? order.received : now;
    if (continued) {
        const auto elapsed = std::clamp<common::wall_time::duration>(
            common::wall_now() - recorded->ordered, common::wall_time::duration::zero(),
            order.requested.allowed + order.requested.allowed);
        ordered = now - std::chrono::duration_cast<milliseconds>(elapsed);
    }
    state.coordinator = std::make_unique<rollout::coordinator>(m_settings.coordinator, m_settings.host,
                                                               order.requested, ordered);
    if (continued) {
        state.coordinator->resume(*recorded);
    }
    state.coordinator->set_withheld(withheld_versions(service, state, order.requested.version));
    state.running_recorded = continued;
    state.recorded_stage = continued ? std::optional(recorded->current) : std::nullopt;
    state.next_record = now;
    state.published_revision = 0;
    const std::uint64_t offset = order.requested.offset;
    std::erase_if(state.orders,
                  [offset](const waiting_order& each) { return each.requested.offset <= offset; });
    m_events.emit(event_number::rollout_coordinating,
                  {{"service", service}, {"version", order.requested.version}, {"offset", offset}});
    publish(state, now);
}

void rollout_duty::take_over_if_lost(const std::string& service, service_state& state, const mesh_view& mesh,
                                     common::steady_time now) {
    if (!state.plan || is_final(state.plan->position.current) || state.coordinator) {
        return;
    }
    const std::string& host = state.plan->coordinator;
    std::erase_if(state.reports_of_loss,
                  [now](const auto& entry) { return now - entry.second > report_of_loss_lifetime; });
    const membership::member* member = mesh.find(host);
    // A daemon that was restarted does not continue what it coordinated before.
    const bool own = host == m_settings.host;
    const std::size_t required =
        std::max(min_reports_of_loss, targets_of(service, mesh).size() / targets_per_report_of_loss);
    const bool unreachable = member == nullptr || !mesh.reachable(*member);
    if (!own && !unreachable && state.reports_of_loss.size() < required) {
        state.loss_noticed.reset();
        return;
    }
    state.loss_noticed = state.loss_noticed.value_or(now);
    const auto rank = own ? std::optional<std::size_t>(0) : own_rank(service, mesh, host);
    if (!rank || now < *state.loss_noticed + succession_delay * *rank) {
        return;
    }
    const rollout::plan known = plan_at(state, now);
    const rollout::order requested{service, known.version, known.position.order_offset, known.allowed};
    state.coordinator = std::make_unique<rollout::coordinator>(m_settings.coordinator, m_settings.host,
                                                               requested, now - known.elapsed);
    state.coordinator->resume(known);
    state.running_recorded = true;
    state.recorded_stage = known.position.current;
    state.next_record = now;
    state.published_revision = 0;
    state.loss_noticed.reset();
    m_events.emit(event_number::rollout_coordinator_replaced,
                  {{"service", service}, {"coordinator", m_settings.host}, {"lost", host}});
    publish(state, now);
}

/// Makes the coordinator's plan the plan of this daemon.
void rollout_duty::publish(service_state& state, common::steady_time now) {
    const rollout::stage before = state.plan ? state.plan->position.current : rollout::stage::observing;
    const std::uint64_t order_before = state.plan ? state.plan->position.order_offset : 0;
    state.plan = state.coordinator->plan_at(now);
    state.plan_received = now;
    m_sinks.apply(*state.plan);
    if (state.coordinator->revision() != state.published_revision) {
        state.published_revision = state.coordinator->revision();
        state.broadcast.start(++m_broadcasts);
    }
    const rollout::plan& plan = *state.plan;
    const bool entered = before != plan.position.current || order_before != plan.position.order_offset;
    if (!entered) {
        return;
    }
    m_events.emit(event_number::rollout_stage_entered,
                  {{"service", plan.service},
                   {"version", plan.version},
                   {"stage", std::string(rollout::to_string(plan.position.current))},
                   {"elapsed", plan.elapsed},
                   {"admitted", state.coordinator->admitted_new()}});
    if (plan.position.current == rollout::stage::rolling_back) {
        m_events.emit(event_number::rollout_decided,
                      {{"service", plan.service},
                       {"version", plan.version},
                       {"reason", std::string(rollout::to_string(state.coordinator->reason()))},
                       {"bad_responses", state.coordinator->bad_responses()}});
    }
}

void rollout_duty::coordinate(const std::string& service, service_state& state, const mesh_view& mesh,
                              common::steady_time now) {
    if (!state.coordinator) {
        return;
    }
    state.coordinator->set_targets(targets_of(service, mesh));
    state.coordinator->tick(now);
    publish(state, now);
    m_metrics
        .add_gauge("boragehollow_rollout_share_permille",
                   "Share of the calls for the new version of a roll-out",
                   {{"service", service}, {"version", state.plan->version}})
        .set(state.plan->share_permille);
    m_metrics
        .add_gauge("boragehollow_rollout_admitted_calls",
                   "Calls at the new version of a roll-out that this daemon coordinates",
                   {{"service", service}, {"version", state.plan->version}})
        .set(static_cast<std::int64_t>(state.coordinator->admitted_new()));
    record_progress(service, state, now);
}

void rollout_duty::record_progress(const std::string& service, service_state& state,
                                   common::steady_time now) {
    const rollout::plan& plan = state.coordinator->current();
    const rollout::stage current = plan.position.current;
    if (state.recorded_stage != current && current != rollout::stage::rolling_back) {
        state.recorded_stage = current;
        m_sinks.record(write_stage{state.coordinator->record_at(common::wall_now(), now)});
    }
    if (now < state.next_record) {
        return;
    }
    const auto due = state.coordinator->due_status();
    if (state.running_recorded && !due) {
        return;
    }
    rollout_status wanted = rollout_status::running;
    if (state.running_recorded) {
        wanted = *due == rollout::stage::completed ? rollout_status::completed : rollout_status::rolled_back;
    }
    state.next_record = now + record_timeout;
    m_sinks.record(write_status{service, plan.version, plan.position.order_offset, wanted});
}

void rollout_duty::handle(status_written& message) {
    const common::steady_time now = common::steady_clock::now();
    service_state& state = m_services[message.service];
    const bool current =
        state.coordinator && state.coordinator->current().position.order_offset == message.order_offset;
    if (!current) {
        return;
    }
    state.next_record = message.standing ? now : now + record_retry_interval;
    m_next_tick = std::min(m_next_tick, now);
    if (!message.standing) {
        return;
    }
    if (message.wanted == rollout_status::running) {
        state.running_recorded = true;
        return;
    }
    const bool completed = *message.standing == rollout_status::completed;
    state.coordinator->record_final_status(completed ? rollout::stage::completed
                                                     : rollout::stage::rolled_back);
    publish(state, now);
    m_sinks.record(write_stage{state.coordinator->record_at(common::wall_now(), now)});
    finish(state);
}

/// The order is decided. Its plan is still sent until each daemon has it.
void rollout_duty::finish(service_state& state) {
    state.decided_offset = state.plan->position.order_offset;
    state.coordinator.reset();
    state.recorded_stage.reset();
}

void rollout_duty::send_plan(const std::string& service, service_state& state, const mesh_view& mesh,
                             common::steady_time now) {
    if (!state.plan || state.broadcast.revision() == 0) {
        return;
    }
    std::optional<std::string> body;
    const std::uint64_t revision = state.broadcast.revision();
    state.broadcast.send_due(mesh, now, [&](const std::string& host, const common::endpoint& peer) {
        if (!body) {
            body = codec::encode_plans({plan_at(state, now)});
        }
        m_sinks.send(peer, rollout_plans_path, *body,
                     [this, service, host, revision](std::optional<std::string> reply) {
                         m_ring.try_push(plan_delivered{service, host, revision, reply.has_value()});
                         if (reply) {
                             m_ring.try_push(plans_replied{std::move(*reply)});
                         }
                     });
    });
}

} // namespace boragehollow::daemon
