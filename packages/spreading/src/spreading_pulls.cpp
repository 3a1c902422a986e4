#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/spreading/spreading_engine.hpp"

#include <algorithm>

namespace boragehollow::spreading {

namespace {

/// Failures in a row that are taken for dead peers not yet noticed. After more of them the daemon itself is
/// probably cut off, and it asks less often.
constexpr int quick_retries = 6;

/// Failures in a row after which a starting daemon allows more time, since a snapshot may be on its way.
constexpr int impatient_bootstrap_pulls = 2;

} // namespace

effects spreading_engine::pull_received(std::uint64_t ticket, const pull_request& request, steady_time now) {
    effects out;
    begin_call(now, out);
    if (request.digest != 0) {
        m_floors.record(request.from_host, request.version, now);
        compare_digest(request.from_host, request.version, request.digest, out);
    }
    send_pull_reply reply{ticket, {}};
    reply.content.body = answer_body(ticket, request, now);
    reply.content.responder_version = m_applied;
    reply.content.responder_digest = m_digest;
    reply.content.responder_ready = m_ready;
    reply.content.floor = m_floors.of(request.floor_of_host);
    out.emplace_back(std::move(reply));
    return out;
}

pull_reply_body spreading_engine::answer_body(std::uint64_t ticket, const pull_request& request,
                                              steady_time now) {
    if (request.version >= m_store.last()) {
        return nothing_newer{};
    }
    if (m_store.covers(request.version)) {
        return newer_records{m_store.after(request.version, m_settings.max_pull_reply_bytes)};
    }
    if (m_applied > request.version) {
        return snapshot_body(ticket, now);
    }
    return nothing_newer{};
}

pull_reply_body spreading_engine::snapshot_body(std::uint64_t ticket, steady_time now) {
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
    begin_call(now, out);
    const bool awaited = m_pull && m_pull->id == id;
    if (awaited) {
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
    const bool progress = take_body(std::move(content.body), peer, now, out);
    if (progress && m_store.last() < content.responder_version) {
        m_preferred_peer = peer;
        m_next_pull = now;
    }
    update_readiness(now, out);
    return out;
}

/// Returns true when the answer brought something new.
bool spreading_engine::take_body(pull_reply_body body, const std::string& peer, steady_time now,
                                 effects& out) {
    const revision before = m_store.last();
    const bool from_other_domain =
        std::find(m_view.own_domain.begin(), m_view.own_domain.end(), peer) == m_view.own_domain.end();
    const auto take = common::overloaded{
        [](const nothing_newer&) {},
        [&](const newer_records& newer) {
            // Records from another domain may be news to the whole own domain.
            take_records(newer.records, m_ready && from_other_domain, peer, now, out);
        },
        [&](encoded_snapshot& snapshot) { take_snapshot(std::move(snapshot), out); },
        [&](const retry_later& later) { m_next_pull = now + jittered(later.delay); },
    };
    std::visit(take, body);
    return m_store.last() > before;
}

effects spreading_engine::pull_failed(std::uint64_t id, steady_time now) {
    effects out;
    begin_call(now, out);
    if (m_pull && m_pull->id == id) {
        pull_lost(now, out);
    }
    return out;
}

void spreading_engine::pull_lost(steady_time now, effects& out) {
    m_pull.reset();
    ++m_failed_pulls;
    const bool retry_soon = m_failed_pulls <= quick_retries;
    m_next_pull = now + jittered(retry_soon ? m_settings.failed_pull_delay : regular_interval());
    count_failed_reverification(now, out);
}

/// A daemon that was ready before and now reaches nobody goes back to serving the state it holds.
void spreading_engine::count_failed_reverification(steady_time now, effects& out) {
    if (!m_was_ready || m_verified) {
        return;
    }
    ++m_reverify_failures;
    if (m_reverify_failures < m_settings.reverify_attempts) {
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

/// Empty when no peer is known.
std::string spreading_engine::choose_pull_peer() {
    if (!m_preferred_peer.empty()) {
        return std::exchange(m_preferred_peer, {});
    }
    const auto any_of = [&](const std::vector<std::string>& hosts) {
        return hosts.empty() ? std::string() : hosts[m_random.index(hosts.size())];
    };
    if (m_ask_reader && !m_view.readers.empty()) {
        m_ask_reader = false;
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
        return m_settings.cut_off_reader_other_domain_pull_every;
    }
    return m_ready ? m_settings.other_domain_pull_every : m_settings.bootstrap_other_domain_pull_every;
}

/// A ready daemon misses few records, and with a longer limit one that meets several dead peers in a row
/// would be late. A starting daemon waits for a snapshot, which can take long.
milliseconds spreading_engine::pull_timeout() const {
    milliseconds timeout = m_settings.pull_timeout;
    if (m_ready) {
        return timeout;
    }
    for (int failure = impatient_bootstrap_pulls; failure < m_failed_pulls; ++failure) {
        timeout = std::min(timeout * 2, m_settings.max_pull_timeout);
    }
    return timeout;
}

milliseconds spreading_engine::regular_interval() const {
    return m_ready ? m_settings.pull_interval : m_settings.bootstrap_pull_interval;
}

/// Between three quarters and five quarters of the interval.
milliseconds spreading_engine::jittered(milliseconds interval) {
    const auto spread = std::chrono::duration_cast<milliseconds>(m_random.jitter(interval / 2));
    return interval * 3 / 4 + spread;
}

} // namespace boragehollow::spreading
