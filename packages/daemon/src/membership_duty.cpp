#include "boragehollow/daemon/membership_duty.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <chrono>
#include <utility>

namespace boragehollow::daemon {

namespace {

// The source has nothing to do by time; a wake-up ends its wait.
constexpr std::chrono::hours source_wait{1};
// Keeps a socket that fails at once from turning the source into a spinning thread.
constexpr std::chrono::milliseconds pause_after_failure{100};

} // namespace

membership_duty::membership_duty(membership_duty_settings settings, transport::udp_socket socket,
                                 std::shared_ptr<common::hybrid_clock> clock, common::random_source random,
                                 membership_sinks sinks)
    : m_mesh(std::move(settings.mesh)), m_clock(std::move(clock)), m_sinks(std::move(sinks)),
      m_socket(std::move(socket)), m_engine(std::move(settings.self), std::move(settings.seeds),
                                            settings.engine, random, common::steady_clock::now()),
      m_ring(settings.ring_size), m_thread("membership", [this](const std::stop_token&) { run(); }),
      m_source("udp_source", [this](const std::stop_token& stop) { receive_datagrams(stop); }) {}

membership_duty::~membership_duty() {
    m_source.request_stop();
    m_socket.wake();
    m_ring.close();
}

void membership_duty::receive_datagrams(const std::stop_token& stop) {
    while (!stop.stop_requested()) {
        const auto outcome = m_socket.receive_until(common::steady_clock::now() + source_wait);
        if (!outcome) {
            m_sinks.socket_failed(outcome.error());
            std::this_thread::sleep_for(pause_after_failure);
            continue;
        }
        if (const auto* received = std::get_if<transport::received_datagram>(&*outcome)) {
            take_datagram(*received);
        }
    }
}

void membership_duty::take_datagram(const transport::received_datagram& received) {
    auto decoded = codec::decode_datagram(received.bytes, m_mesh);
    if (!decoded) {
        m_sinks.refused(received.from, decoded.error());
        return;
    }
    m_clock->observe(decoded->sent, common::wall_now());
    m_ring.try_push(membership_message(datagram_arrived{std::move(decoded->value), received.from}));
}

void membership_duty::run() {
    while (true) {
        auto message = m_ring.pop_until(m_engine.next_wakeup());
        const common::steady_time now = common::steady_clock::now();
        if (message) {
            std::visit([&](auto& concrete) { handle(concrete, now); }, *message);
        } else if (m_ring.closed()) {
            return;
        }
        if (now >= m_engine.next_wakeup()) {
            deliver(m_engine.tick(now), now);
        }
    }
}

void membership_duty::handle(const datagram_arrived& message, common::steady_time now) {
    deliver(m_engine.receive(message.value, message.from, now), now);
}

void membership_duty::handle(announce_target& message, common::steady_time now) {
    deliver(m_engine.announce_local_target(std::move(message.announcement), now), now);
}

void membership_duty::handle(const version_applied& message, common::steady_time now) {
    deliver(m_engine.note_local_version(message.applied, now), now);
}

void membership_duty::handle(const sync_requested& message, common::steady_time now) {
    membership::sync_answer answer = m_engine.answer_sync(message.request, now);
    message.reply.set(std::move(answer.reply));
    deliver(answer.effects, now);
}

void membership_duty::handle(const sync_reply_arrived& message, common::steady_time now) {
    membership::sync_step step = m_engine.sync_replied(message.reply, now);
    deliver(step.effects, now);
    if (step.next) {
        m_sinks.send_sync(message.peer, std::move(*step.next));
    }
}

void membership_duty::handle(const query_membership& message, common::steady_time) {
    message.reply.set({m_engine.self(), m_engine.counts(), m_traffic, m_engine.members()});
}

void membership_duty::handle(const query_progress& message, common::steady_time) {
    message.reply.set(m_engine.progress(message.version));
}

void membership_duty::handle(const query_floor& message, common::steady_time) {
    message.reply.set(m_engine.floor(message.host));
}

void membership_duty::handle(const leave_mesh& message, common::steady_time now) {
    deliver(m_engine.leave(now), now);
    message.reply.set(true);
}

void membership_duty::deliver(const membership::membership_effects& effects, common::steady_time now) {
    for (const membership::membership_effect& effect : effects) {
        std::visit([&](const auto& concrete) { deliver_one(concrete, now); }, effect);
    }
}

void membership_duty::deliver_one(const membership::send_datagram& effect, common::steady_time) {
    const auto bytes = codec::encode_datagram(effect.value, m_mesh, m_clock->stamp(common::wall_now()));
    if (!bytes) {
        ++m_traffic.send_failures;
        return;
    }
    // A lost datagram is repaired like one that the network lost; the counter shows a lasting failure.
    if (!m_socket.send(*bytes, effect.to)) {
        ++m_traffic.send_failures;
        return;
    }
    ++m_traffic.datagrams_sent;
    m_traffic.bytes_sent += bytes->size();
}

void membership_duty::deliver_one(const membership::start_sync& effect, common::steady_time) {
    m_sinks.send_sync(effect.peer, m_engine.begin_sync());
}

void membership_duty::deliver_one(const membership::directory_changed&, common::steady_time now) {
    m_sinks.view_changed({m_engine.directory(now),
                          std::make_shared<const std::vector<membership::member_ref>>(m_engine.members())});
}

void membership_duty::deliver_one(const membership::member_event& effect, common::steady_time) {
    m_sinks.member_changed(effect);
}

} // namespace boragehollow::daemon
