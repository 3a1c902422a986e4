#include "boragehollow/daemon/spreading_duty.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <utility>

namespace boragehollow::daemon {

using telemetry::event_number;

spreading_duty::spreading_duty(spreading::spreading_settings settings, common::random_source random,
                               std::size_t ring_size, spreading_sinks sinks,
                               const telemetry::event_log& events)
    : m_engine(std::move(settings), random, common::steady_clock::now()), m_sinks(std::move(sinks)),
      m_events(events), m_ring(ring_size), m_thread("spreading", [this](const std::stop_token&) { run(); }) {}

spreading_duty::~spreading_duty() {
    stop();
}

void spreading_duty::stop() {
    m_ring.close();
    m_thread.join();
}

std::optional<spreading::pull_reply> spreading_duty::handle_pull_request(spreading::pull_request request,
                                                                         common::steady_time deadline) {
    pull_from_peer message{std::move(request), {}};
    const auto reply = message.reply;
    if (!m_ring.try_push(spreading_message(std::move(message)))) {
        return std::nullopt;
    }
    return reply.wait_until(deadline);
}

void spreading_duty::run() {
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
    }
}

spreading::effects spreading_duty::handle(spreading_message& message, common::steady_time now) {
    const auto handler = common::overloaded{
        [&](const log_records_read& read) { return m_engine.records_read(read.records, now); },
        [&](const log_end_reached& read) { return m_engine.log_end_reached(read.extent, now); },
        [&](const log_unreachable&) { return m_engine.log_unavailable(now); },
        [&](platform_snapshot_read& read) { return m_engine.snapshot_read(std::move(read.snapshot), now); },
        [&](const platform_snapshot_missing&) { return m_engine.snapshot_read_failed(now); },
        [&](const snapshot_stored& stored) { return m_engine.snapshot_appended(stored.version, now); },
        [&](const snapshot_store_failed&) { return m_engine.snapshot_append_failed(now); },
        [&](const push_from_peer& push) { return m_engine.push_received(push.from, push.records, now); },
        [&](pull_from_peer& pull) { return handle_pull(pull, now); },
        [&](pull_replied& pull) {
            return m_engine.pull_replied(pull.id, pull.peer, std::move(pull.reply), now);
        },
        [&](const pull_failed& pull) { return m_engine.pull_failed(pull.id, now); },
        [&](state_applied& applied) {
            m_state = std::move(applied.state);
            m_encoded.reset();
            return m_engine.applied(m_state->version, m_state->digest, now);
        },
        [&](const apply_failed&) { return m_engine.apply_failed(now); },
        [&](const version_observed& observed) {
            m_engine.version_observed(observed.host, observed.version, now);
            return spreading::effects();
        },
        [&](const contact_lost&) { return m_engine.contact_lost(now); },
        [&](spreading::peer_view& view) { return m_engine.members_changed(std::move(view), now); },
    };
    return std::visit(handler, message);
}

spreading::effects spreading_duty::handle_pull(pull_from_peer& message, common::steady_time now) {
    const std::uint64_t ticket = ++m_last_ticket;
    m_pending_replies.emplace(ticket, message.reply);
    return m_engine.pull_received(ticket, message.request, now);
}

void spreading_duty::perform(spreading::effects effects, common::steady_time now) {
    for (spreading::effect& effect : effects) {
        if (perform_effect(effect)) {
            continue;
        }
        // The following effects depend on the one that was not delivered. `apply_failed` makes the engine
        // compute them again.
        perform(m_engine.apply_failed(now), now);
        return;
    }
}

/// Returns false when the apply duty's ring was full.
bool spreading_duty::perform_effect(spreading::effect& effect) {
    bool accepted = true;
    const auto run = common::overloaded{
        [&](spreading::push& push) { m_sinks.push(std::move(push)); },
        [&](spreading::pull& pull) { m_sinks.pull(std::move(pull)); },
        [&](spreading::send_pull_reply& reply) { send_reply(reply); },
        [&](spreading::apply_records& records) { accepted = m_sinks.apply(std::move(records)); },
        [&](spreading::apply_snapshot& snapshot) { accepted = m_sinks.apply(std::move(snapshot)); },
        [&](const spreading::request_platform_snapshot&) {
            m_events.emit(event_number::log_gap, {{"held", m_engine.held_version().value}});
            m_sinks.log_reader(read_snapshot{});
        },
        [&](const spreading::append_snapshot&) { m_sinks.log_reader(store_snapshot{m_state}); },
        [&](const spreading::log_reading_changed& reading) { m_sinks.log_reader(reading); },
        [&](const spreading::readiness_changed& changed) {
            if (changed.ready) {
                m_events.emit(event_number::spread_floor_reached,
                              {{"version", m_engine.applied_version().value},
                               {"required", m_engine.required_version().value}});
            }
            m_sinks.readiness(changed.ready);
        },
        [&](const spreading::digest_mismatch& mismatch) {
            m_events.emit(event_number::config_digest_differs, {{"peer", mismatch.peer},
                                                                {"version", mismatch.version.value},
                                                                {"own", mismatch.own},
                                                                {"theirs", mismatch.theirs}});
        },
    };
    std::visit(run, effect);
    return accepted;
}

void spreading_duty::send_reply(spreading::send_pull_reply& effect) {
    const auto waiting = m_pending_replies.find(effect.ticket);
    if (waiting == m_pending_replies.end()) {
        return;
    }
    const auto reply = waiting->second;
    m_pending_replies.erase(waiting);
    auto* snapshot = std::get_if<spreading::encoded_snapshot>(&effect.content.body);
    if (snapshot != nullptr) {
        snapshot->bytes = encoded_state();
        m_events.emit(event_number::spread_snapshot_served,
                      {{"version", snapshot->version.value}, {"bytes", snapshot->bytes->size()}});
    } else if (std::holds_alternative<spreading::retry_later>(effect.content.body)) {
        m_events.emit(event_number::spread_snapshot_deferred);
    }
    if (!reply.set(std::move(effect.content))) {
        m_engine.pull_reply_sent(effect.ticket);
    }
}

spreading::encoded_bytes spreading_duty::encoded_state() {
    if (!m_encoded) {
        m_encoded = std::make_shared<const std::string>(codec::encode_state(*m_state));
    }
    return m_encoded;
}

} // namespace boragehollow::daemon
