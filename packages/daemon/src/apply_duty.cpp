#include "boragehollow/daemon/apply_duty.hpp"

#include "boragehollow/codec/change_codec.hpp"
#include "boragehollow/common/overloaded.hpp"

#include <utility>

namespace boragehollow::daemon {

using telemetry::event_number;

namespace {

constexpr std::chrono::milliseconds notify_retry_delay{100};

} // namespace

apply_duty::apply_duty(std::size_t ring_size, apply_sinks sinks, const telemetry::event_log& events)
    : m_sinks(std::move(sinks)), m_events(events), m_ring(ring_size),
      m_thread("apply", [this](const std::stop_token&) { run(); }) {}

apply_duty::~apply_duty() {
    stop();
}

void apply_duty::stop() {
    m_ring.close();
    m_thread.join();
}

void apply_duty::run() {
    while (true) {
        const bool notified = m_state.snapshot()->version == m_notified_version;
        const auto message =
            notified ? m_ring.pop() : m_ring.pop_until(common::steady_clock::now() + notify_retry_delay);
        if (message) {
            std::visit([&](const auto& concrete) { handle(concrete); }, *message);
        } else if (m_ring.is_closed()) {
            return;
        }
        notify_applied();
    }
}

void apply_duty::notify_applied() {
    const codec::snapshot_pointer state = m_state.snapshot();
    if (state->version > m_notified_version && m_sinks.applied(state)) {
        m_notified_version = state->version;
    }
}

void apply_duty::handle(const spreading::apply_records& message) {
    for (const spreading::log_record& record : message.records) {
        const common::revision version = m_state.snapshot()->version;
        if (record.offset <= version) {
            continue;
        }
        if (m_state.stopped()) {
            return;
        }
        if (record.offset != version.next()) {
            m_sinks.failed();
            return;
        }
        if (!apply(record)) {
            return;
        }
    }
}

bool apply_duty::apply(const spreading::log_record& record) {
    const auto result = decide(record);
    if (!result) {
        report(result.error());
        return false;
    }
    report(record.offset, *result);
    return true;
}

/// An undecodable record also gets a verdict, so that all daemons arrive at the same state.
tl::expected<config::verdict, config::apply_error> apply_duty::decide(const spreading::log_record& record) {
    const auto change = codec::decode_change(*record.bytes, m_state.snapshot()->active_schema);
    if (change) {
        return m_state.apply(record.offset, *change);
    }
    const std::string detail = codec::to_string(change.error());
    if (std::holds_alternative<codec::too_large>(change.error())) {
        return m_state.reject_oversized(record.offset, detail);
    }
    m_events.emit(event_number::config_undecodable, {{"version", record.offset.value}, {"detail", detail}});
    return m_state.reject_undecodable(record.offset, detail);
}

void apply_duty::handle(const spreading::apply_snapshot& message) {
    const common::revision version = message.snapshot.version;
    auto state = codec::decode_state(*message.snapshot.bytes);
    if (!state || (*state)->version != version) {
        const std::string detail =
            state ? "the version of the state differs from the announced version" : to_string(state.error());
        m_events.emit(event_number::config_snapshot_refused,
                      {{"version", version.value}, {"detail", detail}});
        m_sinks.failed();
        return;
    }
    const auto restored = m_state.restore(std::move(*state));
    if (!restored) {
        report(restored.error());
        return;
    }
    m_events.emit(event_number::config_snapshot_loaded, {{"version", version.value}});
}

void apply_duty::report(common::revision at, const config::verdict& result) const {
    const bool accepted = std::holds_alternative<config::accepted>(result);
    m_events.emit(accepted ? event_number::config_applied : event_number::config_rejected,
                  {{"version", at.value}});
}

void apply_duty::report(const config::apply_error& reason) {
    const auto emit = common::overloaded{
        [&](const config::not_newer& older) {
            m_events.emit(event_number::config_older_version_refused,
                          {{"applied", older.applied.value}, {"offered", older.offered.value}});
        },
        [&](const config::unknown_schema& schema) {
            if (!std::exchange(m_schema_reported, true)) {
                m_events.emit(event_number::config_schema_unknown,
                              {{"active", schema.active}, {"newest_known", schema.newest_known}});
            }
        },
        [&](const config::digest_mismatch& differs) {
            m_events.emit(event_number::config_digest_differs, {{"version", differs.version.value}});
        },
    };
    std::visit(emit, reason);
}

} // namespace boragehollow::daemon
