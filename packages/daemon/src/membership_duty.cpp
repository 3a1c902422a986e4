#include "boragehollow/daemon/membership_duty.hpp"

#include "boragehollow/codec/member_codec.hpp"
#include "boragehollow/common/overloaded.hpp"

#include <chrono>
#include <utility>

namespace boragehollow::daemon {

namespace {

using membership::member_event_kind;
using telemetry::event_number;

/// Upper bound on the time between two checks of the stop request, in addition to the wake-up by `stop`.
constexpr std::chrono::seconds receive_interval{1};

std::optional<event_number> event_number_of(member_event_kind kind) {
    switch (kind) {
    case member_event_kind::joined:
        return event_number::member_joined;
    case member_event_kind::suspected:
        return event_number::member_suspected;
    case member_event_kind::refuted:
    case member_event_kind::self_refuted:
        return event_number::member_refuted_suspicion;
    case member_event_kind::died:
        return event_number::member_dead;
    case member_event_kind::left:
        return event_number::member_left;
    case member_event_kind::restarted:
    case member_event_kind::name_conflict:
        return event_number::member_replaced;
    case member_event_kind::target_changed:
    case member_event_kind::announcement_refused:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

membership_duty::membership_duty(membership::membership_engine engine, transport::udp_socket socket,
                                 std::string mesh, std::shared_ptr<common::hybrid_clock> clock,
                                 std::shared_ptr<const peer::link_filter> links, std::size_t ring_size,
                                 membership_sinks sinks, const telemetry::event_log& events)
    : m_engine(std::move(engine)), m_socket(std::move(socket)), m_mesh(std::move(mesh)),
      m_clock(std::move(clock)), m_links(std::move(links)), m_sinks(std::move(sinks)), m_events(events),
      m_ring(ring_size), m_receiver("gossip_source", [this](const std::stop_token& stop) { receive(stop); }),
      m_thread("membership", [this](const std::stop_token&) { run(); }) {}

membership_duty::~membership_duty() {
    stop();
}

void membership_duty::stop() {
    m_receiver.request_stop();
    m_socket.wake();
    m_receiver.join();
    m_ring.close();
    m_thread.join();
}

std::optional<membership::sync_reply> membership_duty::handle_sync_request(membership::sync_request request,
                                                                           common::steady_time deadline) {
    sync_requested message{std::move(request), {}};
    const auto reply = message.reply;
    if (!m_ring.try_push(membership_message(std::move(message)))) {
        return std::nullopt;
    }
    return reply.wait_until(deadline);
}

std::optional<membership::progress_counts> membership_duty::progress(common::revision version,
                                                                     common::steady_time deadline) {
    progress_requested message{version, {}};
    const auto reply = message.reply;
    if (!m_ring.try_push(membership_message(std::move(message)))) {
        return std::nullopt;
    }
    return reply.wait_until(deadline);
}

std::optional<common::steady_clock::duration>
membership_duty::configuration_age(common::steady_time now) const {
    const common::steady_time last = m_last_log_read.load(std::memory_order_relaxed);
    return last == common::steady_time::min() ? std::nullopt : std::optional(now - last);
}

void membership_duty::receive(const std::stop_token& stop) {
    while (!stop.stop_requested()) {
        auto outcome = m_socket.receive_until(common::steady_clock::now() + receive_interval);
        if (!outcome) {
            continue;
        }
        auto* received = std::get_if<transport::received_datagram>(&*outcome);
        if (received == nullptr || m_links->blocked(received->from)) {
            continue;
        }
        m_traffic.received(received->bytes.size());
        auto decoded = codec::decode_datagram(received->bytes, m_mesh);
        if (!decoded) {
            m_events.emit(event_number::datagram_invalid, {{"from", common::to_string(received->from)},
                                                           {"detail", codec::to_string(decoded.error())}});
            continue;
        }
        m_clock->observe(decoded->sent, common::wall_now());
        m_ring.try_push(membership_message(datagram_received{std::move(decoded->value), received->from}));
    }
}

void membership_duty::run() {
    publish_mesh();
    while (true) {
        auto message = m_ring.pop_until(m_engine.next_wakeup());
        const common::steady_time now = common::steady_clock::now();
        if (message) {
            perform(handle(*message, now), now);
        } else if (m_ring.is_closed()) {
            return;
        }
        if (now >= m_engine.next_wakeup()) {
            perform(m_engine.tick(now), now);
        }
        m_last_log_read.store(m_engine.last_log_read().value_or(common::steady_time::min()),
                              std::memory_order_relaxed);
    }
}

membership::membership_effects membership_duty::handle(membership_message& message, common::steady_time now) {
    return std::visit(
        common::overloaded{[&](const datagram_received& received) {
                               const common::revision version =
                                   membership::applied_version(received.value.body);
                               if (version.value > 0) {
                                   m_sinks.version_observed(received.value.from_host, version);
                               }
                               if (received.value.log_epoch > m_engine.log_epoch()) {
                                   m_engine.set_log_epoch(received.value.log_epoch);
                                   if (m_sinks.log_epoch_observed) {
                                       m_sinks.log_epoch_observed(received.value.log_epoch);
                                   }
                               }
                               return m_engine.receive(received.value, received.from, now);
                           },
                           [&](local_announcement_changed& changed) {
                               return m_engine.announce_local_target(std::move(changed.target), now);
                           },
                           [&](const local_version_changed& changed) {
                               return m_engine.set_applied_version(changed.version, now);
                           },
                           [&](const sync_requested& requested) {
                               auto result = m_engine.handle_sync_request(requested.request, now);
                               requested.reply.set(std::move(result.reply));
                               return std::move(result.effects);
                           },
                           [&](const sync_replied& replied) {
                               auto step = m_engine.handle_sync_reply(replied.reply, now);
                               if (step.next) {
                                   m_sinks.sync(replied.host, replied.peer, std::move(*step.next));
                               }
                               return std::move(step.effects);
                           },
                           [&](const progress_requested& requested) {
                               requested.reply.set(m_engine.progress(requested.version));
                               return membership::membership_effects{};
                           },
                           [&](const async_sync_requested& requested) {
                               auto result = m_engine.handle_sync_request(requested.request, now);
                               requested.send_reply(result.reply);
                               return std::move(result.effects);
                           },
                           [&](const seeds_found& found) { return m_engine.add_seeds(found.seeds, now); },
                           [&](const log_epoch_read& read) {
                               m_engine.set_log_epoch(read.epoch);
                               return membership::membership_effects{};
                           },
                           [&](const log_read_confirmed& confirmed) {
                               return m_engine.confirm_log_read(confirmed.read_at, now);
                           },
                           [&](const instances_withdrawn& withdrawn) { return replicate(withdrawn, now); },
                           [&](const leave_mesh&) { return m_engine.leave(now); }},
        message);
}

membership::membership_effects membership_duty::replicate(const instances_withdrawn& message,
                                                          common::steady_time now) {
    membership::membership_effects effects = m_engine.set_withdrawn(message.withdrawn, now);
    if (m_sinks.replicate) {
        for (const membership::member_ref& keeper : m_engine.pick_keepers()) {
            m_sinks.replicate(*keeper, m_engine.own_entry(), message.attempt);
        }
    }
    return effects;
}

void membership_duty::perform(const membership::membership_effects& effects, common::steady_time now) {
    bool view_changed = false;
    for (const membership::membership_effect& effect : effects) {
        std::visit(common::overloaded{[&](const membership::send_datagram& datagram) { send(datagram); },
                                      [&](const membership::start_sync& sync) {
                                          m_sinks.sync(sync.host, sync.peer, m_engine.begin_sync());
                                      },
                                      [&](const membership::directory_changed&) {
                                          m_sinks.directory(m_engine.directory(now),
                                                            m_engine.has_whole_table());
                                      },
                                      [&](const membership::substitution_changed&) { view_changed = true; },
                                      [&](const membership::own_withdrawals_received& received) {
                                          if (m_sinks.withdrawals_received) {
                                              m_sinks.withdrawals_received(received.withdrawn);
                                          }
                                      },
                                      [&](const membership::member_event& event) {
                                          view_changed = true;
                                          report(event);
                                      }},
                   effect);
    }
    if (view_changed || m_published_complete != m_engine.has_whole_table()) {
        publish_mesh();
    }
}

void membership_duty::send(const membership::send_datagram& effect) {
    if (m_links->blocked(effect.to)) {
        return;
    }
    const auto bytes = codec::encode_datagram(effect.value, m_mesh, m_clock->stamp(common::wall_now()));
    if (!bytes) {
        return;
    }
    // The failure detector tolerates lost datagrams, so a failed send needs no handling.
    if (m_socket.send(*bytes, effect.to)) {
        m_traffic.sent(bytes->size());
    }
}

void membership_duty::report(const membership::member_event& event) {
    const auto number = event_number_of(event.kind);
    if (!number) {
        return;
    }
    m_events.emit(*number, {{"host", event.value->host},
                            {"failure_domain", event.value->failure_domain},
                            {"incarnation", event.value->incarnation}});
}

void membership_duty::publish_mesh() {
    auto view = std::make_shared<mesh_view>();
    view->own_host = m_engine.self().host;
    view->own_domain = m_engine.self().failure_domain;
    view->complete = m_engine.has_whole_table();
    m_published_complete = view->complete;
    view->substitutes_reader = m_engine.substitutes_reader();
    for (const membership::member_ref& value : m_engine.members()) {
        view->hosts.emplace(value->host, value);
    }
    view->hosts.insert_or_assign(view->own_host, std::make_shared<const membership::member>(m_engine.self()));
    m_sinks.mesh(std::move(view));
}

} // namespace boragehollow::daemon
