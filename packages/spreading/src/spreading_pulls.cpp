#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/spreading/spreading_engine.hpp"

#include <algorithm>

namespace boragehollow::spreading {

namespace {

/// Up to this many consecutive failures are attributed to dead peers that are not detected yet. After more of
/// them this daemon itself is probably disconnected, and pulls less often.
constexpr int max_quick_retries = 6;

/// After this many consecutive failures a starting daemon uses a longer timeout, because the reply may be a
/// snapshot that takes long to transfer.
constexpr int failures_before_longer_timeout = 2;

} // namespace

effects spreading_engine::pull_received(std::uint64_t ticket, const pull_request& request, steady_time now) {
    effects out;
    detect_pause(now, out);
    if (request.digest != 0) {
        m_floors.record(request.from_host, request.version, now);
        compare_digest(request.from_host, request.version, request.digest, out);
    }
    send_pull_reply reply{ticket, {}};
    reply.content.body = make_reply_body(ticket, request, now);
    reply.content.responder_version = m_applied;
    reply.content.responder_digest = m_digest;
    reply.content.responder_ready = m_ready;
    reply.content.floor = m_floors.floor_of(request.floor_of_host);
    out.emplace_back(std::move(reply));
    return out;
}

pull_reply_body spreading_engine::make_reply_body(std::uint64_t ticket, const pull_request& request,
                                                  steady_time now) {
    if (request.version >= m_store.last()) {
        return nothing_newer{};
    }
    if (m_store.covers(request.version)) {
        return newer_records{m_store.records_after(request.version, m_settings.max_pull_reply_bytes)};
    }
    if (m_applied > request.version) {
        return make_snapshot_body(ticket, now);
    }
    return nothing_newer{};
}

pull_reply_body spreading_engine::make_snapshot_body(std::uint64_t ticket, steady_time now) {
    std::erase_if(m_transfers, [&](const auto& transfer) { return now >= transfer.second; });
    if (m_transfers.size() >= m_settings.max_snapshot_transfers) {
        return retry_later{jittered(m_settings.snapshot_retry_delay)};
    }
    m_transfers.emplace(ticket, now + m_settings.snapshot_transfer_timeout);
    return encoded_snapshot{m_applied, m_digest, nullptr};
}

void spreading_engine::pull_reply_sent(std::uint64_t ticket) {
    m_transfers.erase(ticket);
}

effects spreading_engine::pull_replied(std::uint64_t id, const std::string& peer, pull_reply content,
                                       steady_time now) {
    effects out;
    detect_pause(now, out);
    const bool is_outstanding = m_pull && m_pull->id == id;
    if (is_outstanding) {
        m_pull.reset();
        m_failed_pulls = 0;
        m_next_pull = now + jittered(regular_interval());
    }
    m_required = std::max(m_required, content.floor);
    if (content.responder_ready) {
        m_verified = true;
        m_required = std::max(m_required, content.responder_version);
    }
    if (content.responder_digest != 0) {
        m_floors.record(peer, content.responder_version, now);
    }
    compare_digest(peer, content.responder_version, content.responder_digest, out);
    const bool has_new_records = accept_reply_body(std::move(content.body), peer, now, out);
    if (has_new_records && m_store.last() < content.responder_version) {
        m_preferred_peer = peer;
        m_next_pull = now;
    }
    update_readiness(now, out);
    return out;
}

/// Returns true when the reply contained new records or a newer snapshot.
bool spreading_engine::accept_reply_body(pull_reply_body body, const std::string& peer, steady_time now,
                                         effects& out) {
    const revision before = m_store.last();
    const bool from_other_domain =
        std::find(m_view.own_domain.begin(), m_view.own_domain.end(), peer) == m_view.own_domain.end();
    const auto take = common::overloaded{
        [](const nothing_newer&) {},
        [&](const newer_records& newer) {
            // Records from another domain may be new to the whole own domain, so a ready daemon pushes them
            // on.
            accept_records(newer.records, m_ready && from_other_domain, peer, now, out);
        },
        [&](encoded_snapshot& snapshot) { accept_snapshot(std::move(snapshot), out); },
        [&](const retry_later& later) { m_next_pull = now + jittered(later.delay); },
    };
    std::visit(take, body);
    return m_store.last() > before;
}

effects spreading_engine::pull_failed(std::uint64_t id, steady_time now) {
    effects out;
    detect_pause(now, out);
    if (m_pull && m_pull->id == id) {
        handle_pull_failure(now, out);
    }
    return out;
}

void spreading_engine::handle_pull_failure(steady_time now, effects& out) {
    m_pull.reset();
    ++m_failed_pulls;
    const bool retry_quickly = m_failed_pulls <= max_quick_retries;
    m_next_pull = now + jittered(retry_quickly ? m_settings.failed_pull_delay : regular_interval());
    count_failed_reverification(now, out);
}

/// A daemon that was ready before and cannot verify its state with any peer serves the state that it holds:
/// after `max_reverify_attempts` failures the state counts as verified.
void spreading_engine::count_failed_reverification(steady_time now, effects& out) {
    if (!m_was_ready || m_verified) {
        return;
    }
    ++m_reverify_failures;
    if (m_reverify_failures < m_settings.max_reverify_attempts) {
        return;
    }
    m_verified = true;
    update_readiness(now, out);
}

steady_time spreading_engine::pull_due() const {
    return m_gap_due ? std::min(m_next_pull, *m_gap_due) : m_next_pull;
}

void spreading_engine::start_pull(steady_time now, effects& out) {
    m_gap_due.reset();
    std::string peer = choose_pull_peer();
    if (peer.empty()) {
        m_next_pull = now + jittered(regular_interval());
        count_failed_reverification(now, out);
        return;
    }
    pull_request request{m_settings.host, m_store.last(), 0, {}};
    if (m_applied == m_store.last()) {
        request.digest = m_digest;
    }
    if (!m_ready) {
        request.floor_of_host = m_settings.host;
    }
    ++m_last_pull_id;
    m_pull = outstanding_pull{m_last_pull_id, now + pull_timeout()};
    out.emplace_back(pull{m_last_pull_id, std::move(peer), std::move(request)});
}

/// Returns an empty string when no peer is known.
std::string spreading_engine::choose_pull_peer() {
    if (!m_preferred_peer.empty()) {
        return std::exchange(m_preferred_peer, {});
    }
    const auto any_of = [&](const std::vector<std::string>& hosts) {
        return hosts.empty() ? std::string() : hosts[m_random.index(hosts.size())];
    };
    if (m_pull_from_reader && !m_view.readers.empty()) {
        m_pull_from_reader = false;
        return any_of(m_view.readers);
    }
    const bool other_domain = m_view.own_domain.empty() || m_random.index(other_domain_pull_every()) == 0;
    if (other_domain && !m_view.other_domains.empty()) {
        return any_of(m_view.other_domains);
    }
    return any_of(m_view.own_domain);
}

std::size_t spreading_engine::other_domain_pull_every() const {
    if (m_view.log_reader && !m_log_reachable) {
        return m_settings.disconnected_reader_other_domain_pull_every;
    }
    return m_ready ? m_settings.other_domain_pull_every : m_settings.bootstrap_other_domain_pull_every;
}

/// A ready daemon lacks few records, and a longer timeout would delay it when several peers in a row are
/// dead. A starting daemon may receive a snapshot, which can take longer.
milliseconds spreading_engine::pull_timeout() const {
    milliseconds timeout = m_settings.pull_timeout;
    if (m_ready) {
        return timeout;
    }
    for (int failure = failures_before_longer_timeout; failure < m_failed_pulls; ++failure) {
        timeout = std::min(timeout * 2, m_settings.max_pull_timeout);
    }
    return timeout;
}

milliseconds spreading_engine::regular_interval() const {
    return m_ready ? m_settings.pull_interval : m_settings.bootstrap_pull_interval;
}

/// Returns a random time from 3/4 to 5/4 of the interval.
milliseconds spreading_engine::jittered(milliseconds interval) {
    const auto spread = std::chrono::duration_cast<milliseconds>(m_random.jitter(interval / 2));
    return interval * 3 / 4 + spread;
}

} // namespace boragehollow::spreading
