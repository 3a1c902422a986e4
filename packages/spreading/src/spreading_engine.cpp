#include "boragehollow/spreading/spreading_engine.hpp"

#include <algorithm>

namespace boragehollow::spreading {

namespace {

constexpr std::size_t max_stored_digests = 1'024;
constexpr std::chrono::hours prune_interval{1};

} // namespace

spreading_engine::spreading_engine(spreading_settings settings, common::random_source random, steady_time now)
    : m_settings(std::move(settings)), m_random(random),
      m_store(m_settings.max_retained_records, m_settings.max_retained_bytes),
      m_floors(m_settings.floor_retention), m_started(now), m_last_call(now),
      m_next_prune(now + prune_interval), m_next_pull(now + m_random.jitter(m_settings.first_pull_jitter)),
      m_next_flush(now) {}

/// A long time without any call means that the process was paused, since the pulls of a running process cause
/// a call every few seconds.
void spreading_engine::detect_pause(steady_time now, effects& out) {
    const bool paused = now - m_last_call > m_settings.pause_threshold;
    m_last_call = std::max(m_last_call, now);
    if (paused) {
        require_reverification(now, out);
    }
}

void spreading_engine::require_reverification(steady_time now, effects& out) {
    m_verified = false;
    m_reverify_failures = 0;
    m_pull.reset();
    m_pull_from_reader = true;
    m_next_pull = now;
    if (m_ready) {
        m_ready = false;
        out.emplace_back(readiness_changed{false});
    }
}

effects spreading_engine::contact_lost(steady_time now) {
    effects out;
    detect_pause(now, out);
    require_reverification(now, out);
    return out;
}

effects spreading_engine::records_read(const std::vector<log_record>& records, steady_time now) {
    effects out;
    detect_pause(now, out);
    m_log_reachable = true;
    // Records read before this daemon is ready are old; its peers already have them or pull them.
    accept_records(records, m_ready, {}, now, out);
    return out;
}

effects spreading_engine::push_received(const std::string& from, const std::vector<log_record>& records,
                                        steady_time now) {
    effects out;
    detect_pause(now, out);
    accept_records(records, true, from, now, out);
    return out;
}

void spreading_engine::accept_records(const std::vector<log_record>& records, bool forward,
                                      const std::string& from, steady_time now, effects& out) {
    std::vector<log_record> new_records;
    for (const log_record& record : records) {
        if (m_store.add(record)) {
            new_records.push_back(record);
        }
    }
    apply_contiguous(out);
    if (new_records.empty()) {
        return;
    }
    if (forward) {
        queue_push(new_records, from);
        flush_pushes(now, out);
    }
    if (m_store.has_gap() && !m_gap_due) {
        m_gap_due = now + m_settings.gap_pull_delay + m_random.jitter(m_settings.gap_pull_delay);
        m_preferred_peer = from;
    }
}

void spreading_engine::apply_contiguous(effects& out) {
    std::vector<log_record> records = m_store.take_contiguous();
    if (!records.empty()) {
        out.emplace_back(apply_records{std::move(records)});
    }
    if (!m_store.has_gap()) {
        m_gap_due.reset();
    }
}

void spreading_engine::accept_snapshot(encoded_snapshot snapshot, effects& out) {
    if (snapshot.version <= m_store.last()) {
        return;
    }
    m_store.reset_to(snapshot.version);
    out.emplace_back(apply_snapshot{std::move(snapshot)});
    apply_contiguous(out);
}

effects spreading_engine::apply_failed(steady_time now) {
    effects out;
    detect_pause(now, out);
    if (m_applied < m_store.last()) {
        m_store.reset_to(m_applied);
        m_next_pull = std::min(m_next_pull, now + jittered(m_settings.failed_pull_delay));
        restart_log_reading(out);
    }
    return out;
}

void spreading_engine::queue_push(const std::vector<log_record>& records, const std::string& from) {
    for (const log_record& record : records) {
        if (m_outgoing_bytes + record.size() > m_settings.max_retained_bytes) {
            break; // Peers pull the records that do not fit.
        }
        m_outgoing.push_back(record);
        m_outgoing_bytes += record.size();
    }
    m_outgoing_sender = from;
}

void spreading_engine::flush_pushes(steady_time now, effects& out) {
    if (m_outgoing.empty() || now < m_next_flush) {
        return;
    }
    std::size_t count = 0;
    std::size_t bytes = 0;
    while (count < m_outgoing.size() &&
           (count == 0 || bytes + m_outgoing[count].size() <= m_settings.max_push_bytes)) {
        bytes += m_outgoing[count].size();
        ++count;
    }
    const auto end = m_outgoing.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<std::string> peers = choose_push_peers();
    if (!peers.empty()) {
        out.emplace_back(push{std::move(peers), {m_outgoing.begin(), end}});
    }
    m_outgoing.erase(m_outgoing.begin(), end);
    m_outgoing_bytes -= bytes;
    m_next_flush = now + m_settings.push_batch_interval;
}

/// Picks distinct random members of the own domain, without the sender of the records.
std::vector<std::string> spreading_engine::choose_push_peers() {
    std::vector<std::string> chosen;
    const std::vector<std::string>& members = m_view.own_domain;
    const auto sender = std::find(members.begin(), members.end(), m_outgoing_sender);
    const std::size_t eligible = members.size() - (sender != members.end() ? 1 : 0);
    while (chosen.size() < std::min(m_settings.fan_out, eligible)) {
        const std::string& candidate = members[m_random.index(members.size())];
        if (candidate == m_outgoing_sender ||
            std::find(chosen.begin(), chosen.end(), candidate) != chosen.end()) {
            continue;
        }
        chosen.push_back(candidate);
    }
    return chosen;
}

effects spreading_engine::applied(revision version, std::uint64_t digest, steady_time now) {
    effects out;
    detect_pause(now, out);
    if (version <= m_applied) {
        return out;
    }
    m_applied = version;
    m_digest = digest;
    m_digests.emplace_back(version, digest);
    if (m_digests.size() > max_stored_digests) {
        m_digests.pop_front();
    }
    if (m_store.last() < version) {
        m_store.reset_to(version);
    }
    update_readiness(now, out);
    update_compaction(now, out);
    return out;
}

void spreading_engine::compare_digest(const std::string& peer, revision version, std::uint64_t theirs,
                                      effects& out) const {
    if (theirs == 0) {
        return;
    }
    const auto known =
        std::lower_bound(m_digests.begin(), m_digests.end(), version,
                         [](const auto& item, revision wanted) { return item.first < wanted; });
    if (known == m_digests.end() || known->first != version || known->second == theirs) {
        return;
    }
    out.emplace_back(digest_mismatch{peer, version, known->second, theirs});
}

void spreading_engine::update_readiness(steady_time now, effects& out) {
    if (m_ready || !m_verified || m_applied < m_required) {
        return;
    }
    m_ready = true;
    m_was_ready = true;
    out.emplace_back(readiness_changed{true});
    m_next_pull = now + jittered(regular_interval());
}

effects spreading_engine::members_changed(peer_view view, steady_time now) {
    effects out;
    detect_pause(now, out);
    m_view = std::move(view);
    if (!m_view.compactor) {
        m_compactor_since.reset();
    } else if (!m_compactor_since) {
        m_compactor_since = now;
    }
    update_log_reading(now, out);
    update_compaction(now, out);
    return out;
}

void spreading_engine::version_observed(const std::string& host, revision version, steady_time now) {
    m_floors.record(host, version, now);
}

effects spreading_engine::tick(steady_time now) {
    effects out;
    detect_pause(now, out);
    flush_pushes(now, out);
    update_log_reading(now, out);
    if (m_snapshot_retry && now >= *m_snapshot_retry) {
        m_snapshot_retry.reset();
        request_snapshot_if_needed(now, out);
    }
    update_compaction(now, out);
    if (now >= m_next_prune) {
        m_floors.prune(now);
        m_next_prune = now + prune_interval;
    }
    if (m_pull && now >= m_pull->deadline) {
        handle_pull_failure(now, out);
    }
    if (!m_pull && now >= pull_due()) {
        start_pull(now, out);
    }
    return out;
}

steady_time spreading_engine::next_wakeup() const {
    steady_time next = std::min(m_next_prune, m_pull ? m_pull->deadline : pull_due());
    if (!m_outgoing.empty()) {
        next = std::min(next, m_next_flush);
    }
    if (m_snapshot_retry) {
        next = std::min(next, *m_snapshot_retry);
    }
    if (m_view.log_reader && !m_reading) {
        next = std::min(next, m_started + m_settings.isolated_reader_delay);
    }
    if (const std::optional<steady_time> due = compaction_due()) {
        next = std::min(next, *due);
    }
    return next;
}

} // namespace boragehollow::spreading
