#include "boragehollow/spreading/spreading_engine.hpp"

#include <algorithm>

namespace boragehollow::spreading {

effects spreading_engine::log_end_reached(log_extent extent, steady_time now) {
    effects out;
    detect_pause(now, out);
    m_log_reachable = true;
    m_extent = extent;
    m_verified = true;
    m_required = std::max(m_required, revision{extent.next_offset.value - 1});
    if (next_record_expired()) {
        request_snapshot_if_needed(now, out);
    } else if (m_store.last().next() < extent.next_offset) {
        restart_log_reading(out);
    }
    update_readiness(now, out);
    return out;
}

effects spreading_engine::log_unavailable(steady_time now) {
    effects out;
    detect_pause(now, out);
    m_log_reachable = false;
    return out;
}

/// A daemon that knows no other member delays the log reader role, because it may not have joined the mesh
/// yet.
void spreading_engine::update_log_reading(steady_time now, effects& out) {
    const bool alone = m_view.own_domain.empty() && m_view.other_domains.empty();
    const bool settled = !alone || now >= m_started + m_settings.isolated_reader_delay;
    const bool reading = m_view.log_reader && (settled || m_reading);
    if (reading == m_reading) {
        return;
    }
    m_reading = reading;
    m_log_reachable = true;
    out.emplace_back(log_reading_changed{reading, m_store.last()});
}

/// The log reader already read records that this daemon could not store, and has to read them again.
void spreading_engine::restart_log_reading(effects& out) const {
    if (m_reading) {
        out.emplace_back(log_reading_changed{true, m_store.last()});
    }
}

void spreading_engine::request_snapshot_if_needed(steady_time now, effects& out) {
    if (!m_reading || m_snapshot_retry || !next_record_expired()) {
        return;
    }
    m_snapshot_retry = now + jittered(m_settings.platform_snapshot_retry);
    out.emplace_back(request_platform_snapshot{});
}

effects spreading_engine::snapshot_read(encoded_snapshot snapshot, steady_time now) {
    effects out;
    detect_pause(now, out);
    if (!m_compacted || *m_compacted < snapshot.version) {
        m_compacted = snapshot.version;
        m_compacted_at = now;
    }
    accept_snapshot(std::move(snapshot), out);
    if (!next_record_expired()) {
        m_snapshot_retry.reset();
    }
    if (m_store.last().next() < m_extent.next_offset) {
        restart_log_reading(out);
    }
    return out;
}

effects spreading_engine::snapshot_read_failed(steady_time now) {
    effects out;
    detect_pause(now, out);
    m_snapshot_retry = now + jittered(m_settings.platform_snapshot_retry);
    return out;
}

effects spreading_engine::snapshot_appended(revision version, steady_time now) {
    effects out;
    detect_pause(now, out);
    m_compacted = std::max(m_compacted.value_or(revision{}), version);
    m_compacted_at = now;
    m_append_not_before.reset();
    return out;
}

effects spreading_engine::snapshot_append_failed(steady_time now) {
    effects out;
    detect_pause(now, out);
    m_append_not_before = now + jittered(m_settings.compaction_retry);
    return out;
}

/// Returns nothing while there is no snapshot to append.
std::optional<steady_time> spreading_engine::compaction_due() const {
    if (!m_compactor_since || !m_ready || m_applied <= m_compacted.value_or(revision{})) {
        return std::nullopt;
    }
    steady_time due = *m_compactor_since + m_settings.compactor_settle_time;
    const bool few_new_records =
        m_compacted && m_applied.value - m_compacted->value <= m_settings.compaction_records;
    if (few_new_records) {
        due = std::max(due, m_compacted_at + m_settings.compaction_age);
    }
    return m_append_not_before ? std::max(due, *m_append_not_before) : due;
}

void spreading_engine::update_compaction(steady_time now, effects& out) {
    const std::optional<steady_time> due = compaction_due();
    if (!due || now < *due) {
        return;
    }
    // No further append starts until this one is reported or must have ended.
    m_append_not_before = now + 2 * m_settings.compaction_retry;
    out.emplace_back(append_snapshot{m_applied});
}

} // namespace boragehollow::spreading
