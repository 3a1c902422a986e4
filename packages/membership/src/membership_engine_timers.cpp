#include "boragehollow/membership/membership_engine.hpp"

#include "boragehollow/common/rendezvous.hpp"
#include "boragehollow/membership/roles.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::membership {

namespace {

// Three first receivers, which push to three others each, reach about 94% of a domain within a few round
// trips; piggybacked entries reach the rest.
constexpr std::size_t push_fan_out = 3;
// A leaving daemon cannot repeat its announcement in a later period.
constexpr std::size_t leave_fan_out = 6;
constexpr std::uint64_t periods_between_dead_retries = 10;
constexpr std::uint64_t periods_between_seed_contacts = 60;
// A seed that is not a known live member may belong to an undiscovered part of the mesh: without these
// contacts, groups that start at the same time could stay separate until the next regular contact.
constexpr std::uint64_t periods_between_unknown_seeds = 4;
constexpr std::uint64_t startup_periods = 20;
// Some of the seeds that a daemon finds may no longer run, and one that replies is enough.
constexpr std::size_t max_initial_seed_pings = 4;
// These pings carry changes of this domain to the others between two synchronizations.
constexpr std::uint64_t periods_between_other_domain_pings = 4;
// While nobody in this domain confirms the configuration, other domains may know a newer one.
constexpr std::size_t overdue_other_domain_pings = 3;
// In a small domain few daemons synchronize with other domains, so each of them does it more often.
constexpr std::chrono::milliseconds sync_interval_per_member{500};
constexpr std::chrono::seconds min_sync_interval{1};
constexpr std::chrono::minutes expiry_interval{1};
constexpr std::chrono::seconds startup_sync_interval{1};
// A daemon that knows no member yet synchronizes soon after it hears of one: until then it can serve no call.
constexpr std::chrono::milliseconds no_member_sync_interval{100};
// A tick that is delayed for longer than this is due to a pause of this process, not to a busy ring.
constexpr std::chrono::milliseconds pause_threshold{1000};

} // namespace

common::steady_time membership_engine::next_wakeup() const {
    if (has_left()) {
        return std::min(m_next_publication, m_next_expiry);
    }
    const common::steady_time substitution_due =
        m_substitution && m_has_whole_table ? m_substitution->next_due() : common::steady_time::max();
    return std::min({m_next_probe, m_next_sync, m_next_progress, m_next_expiry, m_next_push,
                     m_next_publication, m_probes.next_due(), m_suspicions.next_due(),
                     m_targets.next_expiry(), m_collector.next_due(), substitution_due});
}

membership_effects membership_engine::tick(common::steady_time now) {
    membership_effects effects;
    if (!has_left()) {
        detect_own_pause(now);
        send_indirect_pings(now, effects);
        suspect_failed(now, effects);
        declare_dead(now, effects);
        ping_suspected(now, effects);
        probe_next(now, effects);
        report_progress(now, effects);
        forward_collected(now, effects);
        start_next_sync(now, effects);
        decide_substitution(now);
        report_substitution(effects);
        if (now >= m_next_push) {
            push_urgent(now, effects);
        }
    }
    expire(now, effects);
    publish_directory(now, effects);
    m_last_tick = now;
    return effects;
}

void membership_engine::detect_own_pause(common::steady_time now) {
    if (now - m_last_tick < m_settings.period + pause_threshold) {
        return;
    }
    // Acks of outstanding probes may still be waiting in the socket, and members may be suspected wrongly.
    m_probes.clear();
    m_suspicions.postpone(now + m_settings.suspicion);
}

void membership_engine::probe_next(common::steady_time now, membership_effects& effects) {
    if (now < m_next_probe) {
        return;
    }
    m_next_probe = now + m_settings.period;
    ++m_periods;
    contact_seeds(now, effects);
    if (is_confirmation_overdue(now)) {
        ping_other_domains(overdue_other_domain_pings, now, effects);
    } else if (m_periods % periods_between_other_domain_pings == 0) {
        ping_other_domains(1, now, effects);
    }
    if (m_periods % periods_between_dead_retries == 0) {
        ping_dead_member(now, effects);
    }
    const std::string host = m_own_domain_members.next(m_random);
    if (const member_ref probed = m_table.find(host)) {
        send_probe(*probed, now, effects);
    }
}

void membership_engine::send_probe(const member& probed, common::steady_time now,
                                   membership_effects& effects) {
    const std::uint64_t sequence = ++m_last_sequence;
    m_probes.add({sequence, probed.host, now + m_settings.ack_timeout, now + m_settings.period, false});
    std::vector<member> mandatory;
    if (probed.state != member_state::alive) {
        mandatory.push_back(probed);
    }
    send(probed.gossip, ping{sequence, m_applied}, std::move(mandatory), now, effects);
}

void membership_engine::contact_seeds(common::steady_time now, membership_effects& effects) {
    const bool alone = m_own_domain_members.hosts().empty() && m_other_domain_members.hosts().empty();
    const bool early = m_periods <= startup_periods;
    std::vector<common::endpoint> candidates;
    if (alone || early || m_periods % periods_between_unknown_seeds == 0) {
        candidates = unknown_seeds();
    }
    if (candidates.empty() && m_periods % periods_between_seed_contacts == 0) {
        candidates = m_seeds;
    }
    if (candidates.empty()) {
        return;
    }
    const common::endpoint& seed = candidates[m_random.index(candidates.size())];
    send(seed, ping{++m_last_sequence, m_applied}, {*m_self}, now, effects);
}

membership_effects membership_engine::add_seeds(const std::vector<common::endpoint>& seeds,
                                                common::steady_time now) {
    membership_effects effects;
    for (const common::endpoint& seed : seeds) {
        if (std::find(m_seeds.begin(), m_seeds.end(), seed) != m_seeds.end()) {
            continue;
        }
        m_seeds.push_back(seed);
    }
    std::vector<common::endpoint> unknown = unknown_seeds();
    for (std::size_t i = 0; i < max_initial_seed_pings && !unknown.empty() && !has_left(); ++i) {
        const std::size_t chosen = m_random.index(unknown.size());
        send(unknown[chosen], ping{++m_last_sequence, m_applied}, {*m_self}, now, effects);
        unknown.erase(unknown.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    return effects;
}

std::vector<common::endpoint> membership_engine::unknown_seeds() const {
    std::vector<common::endpoint> unknown = m_seeds;
    std::erase(unknown, m_self->gossip);
    if (unknown.empty()) {
        return unknown;
    }
    for (const member_ref& known : m_table.entries()) {
        if (is_tombstone(*known)) {
            continue;
        }
        std::erase(unknown, known->gossip);
    }
    return unknown;
}

void membership_engine::ping_other_domains(std::size_t count, common::steady_time now,
                                           membership_effects& effects) {
    for (const std::string& host : m_other_domain_members.pick(count, {}, m_random)) {
        const member_ref remote = m_table.find(host);
        send(remote->gossip, ping{++m_last_sequence, m_applied}, {*m_self}, now, effects);
    }
}

void membership_engine::ping_dead_member(common::steady_time now, membership_effects& effects) {
    // After a partition inside the domain both sides consider each other dead, and only these pings rejoin
    // them.
    if (m_dead.empty()) {
        return;
    }
    const member_ref dead = m_table.find(m_dead[m_random.index(m_dead.size())]);
    if (dead) {
        send(dead->gossip, ping{++m_last_sequence, m_applied}, {*dead, *m_self}, now, effects);
    }
}

void membership_engine::send_indirect_pings(common::steady_time now, membership_effects& effects) {
    for (const probe& due : m_probes.take_indirect_due(now)) {
        for (const std::string& host :
             m_own_domain_members.pick(m_settings.indirect_probes, due.host, m_random)) {
            const member_ref relay = m_table.find(host);
            send(relay->gossip, indirect_ping{due.sequence, m_applied, due.host}, {}, now, effects);
        }
    }
}

void membership_engine::suspect_failed(common::steady_time now, membership_effects& effects) {
    for (const probe& failed : m_probes.take_failed(now)) {
        const member_ref known = m_table.find(failed.host);
        if (!known || known->state != member_state::alive) {
            continue;
        }
        member suspected = *known;
        suspected.state = member_state::suspect;
        apply(std::make_shared<const member>(std::move(suspected)), now, effects);
        // The suspected member is pinged at once, because its refutation has to spread before the suspicion
        // ends.
        m_suspicions.start_local(failed.host, now + m_settings.suspicion, now);
    }
}

void membership_engine::ping_suspected(common::steady_time now, membership_effects& effects) {
    for (const std::string& host : m_suspicions.take_pings_due(now, m_settings.suspicion / 8)) {
        if (const member_ref suspected = m_table.find(host)) {
            send(suspected->gossip, ping{++m_last_sequence, m_applied}, {*suspected}, now, effects);
        }
    }
}

void membership_engine::declare_dead(common::steady_time now, membership_effects& effects) {
    for (const std::string& host : m_suspicions.take_verifications_due(now)) {
        // Gossip does not reach every member: this daemon may have missed the refutation or the death, so it
        // pings the suspected member itself.
        m_suspicions.start_local(host, now + m_settings.suspicion, now);
    }
    for (const std::string& host : m_suspicions.take_expired(now)) {
        const member_ref known = m_table.find(host);
        if (!known || known->state != member_state::suspect) {
            continue;
        }
        member dead = *known;
        dead.state = member_state::dead;
        apply(std::make_shared<const member>(std::move(dead)), now, effects);
    }
}

void membership_engine::push_urgent(common::steady_time now, membership_effects& effects) {
    m_next_push = common::steady_time::max();
    if (m_queue.has_tokens(now)) {
        push({}, now, effects);
    }
}

void membership_engine::push(const std::vector<member>& mandatory, common::steady_time now,
                             membership_effects& effects) {
    const std::size_t fan_out = has_left() ? leave_fan_out : push_fan_out;
    for (const std::string& host : m_own_domain_members.pick(fan_out, {}, m_random)) {
        send(m_table.find(host)->gossip, progress_report{m_applied}, mandatory, now, effects);
    }
}

void membership_engine::report_progress(common::steady_time now, membership_effects& effects) {
    if (now < m_next_progress) {
        return;
    }
    m_next_progress = now + m_settings.progress_interval;
    const domain_roles& current = roles();
    std::vector<std::string> receivers = current.readers;
    if (!current.collectors.empty()) {
        receivers = {collector_of(m_self->host, current.collectors)};
    }
    for (const std::string& receiver : receivers) {
        if (receiver == m_self->host) {
            m_collector.record(receiver, m_applied, now);
            continue;
        }
        send(m_table.find(receiver)->gossip, progress_report{m_applied}, {}, now, effects);
    }
}

void membership_engine::forward_collected(common::steady_time now, membership_effects& effects) {
    for (const std::vector<collected_progress>& list : m_collector.take_due(now)) {
        for (const std::string& reader : roles().readers) {
            if (reader != m_self->host) {
                send(m_table.find(reader)->gossip, progress_report{m_applied, list}, {}, now, effects);
            }
        }
    }
}

const membership_engine::domain_roles& membership_engine::roles() {
    if (m_roles) {
        return *m_roles;
    }
    std::vector<std::string> hosts = m_own_domain_members.hosts();
    hosts.push_back(m_self->host);
    std::vector<reader_candidate> candidates;
    candidates.reserve(hosts.size());
    for (const std::string& host : hosts) {
        const member_ref known = m_table.find(host);
        candidates.push_back({host, known ? known->link_megabits : 0});
    }
    domain_roles current;
    current.readers = log_readers(m_self->failure_domain, candidates);
    current.collectors = progress_collectors(m_self->failure_domain, hosts);
    for (const std::string& host : hosts) {
        current.host_by_hash.emplace(common::stable_hash(host), host);
    }
    m_roles = std::move(current);
    return *m_roles;
}

void membership_engine::start_next_sync(common::steady_time now, membership_effects& effects) {
    if (now < m_next_sync) {
        return;
    }
    const auto scaled = std::max<std::chrono::milliseconds>(
        min_sync_interval, sync_interval_per_member * (m_own_domain_members.hosts().size() + 1));
    const auto interval =
        std::chrono::duration_cast<std::chrono::microseconds>(std::min(m_settings.sync_interval, scaled));
    m_next_sync = now + interval * 4 / 5 + m_random.jitter(interval * 2 / 5);
    const bool early = !m_has_whole_table || m_startup_syncs > 0;
    if (early) {
        m_next_sync = now + startup_sync_interval / 2 + m_random.jitter(startup_sync_interval);
    }
    if (m_has_whole_table && m_startup_syncs > 0) {
        --m_startup_syncs;
    }
    const bool other_domain_turn = ++m_syncs_started % m_settings.sync_other_domain_every == 0;
    const bool other_domain = m_own_domain_members.hosts().empty() ||
                              (other_domain_turn && !m_other_domain_members.hosts().empty());
    const std::vector<std::string> chosen =
        (other_domain ? m_other_domain_members : m_own_domain_members).pick(2, {}, m_random);
    if (chosen.empty()) {
        m_next_sync = now + no_member_sync_interval;
        return;
    }
    member_ref peer = m_table.find(chosen.front());
    // Many daemons may start at once with the same few seeds, so whole tables are requested from other
    // members where possible.
    const bool is_seed = std::find(m_seeds.begin(), m_seeds.end(), peer->gossip) != m_seeds.end();
    if (!m_has_whole_table && is_seed) {
        peer = m_table.find(chosen.back());
    }
    effects.push_back(start_sync{peer->host, peer->peer});
}

void membership_engine::expire(common::steady_time now, membership_effects& /*effects*/) {
    if (m_targets.expire(now)) {
        mark_directory_changed(now);
    }
    if (now < m_next_expiry) {
        return;
    }
    m_next_expiry = now + expiry_interval;
    m_floors.expire(now);
    m_withdrawals.expire(now);
    for (const member_ref& expired : m_table.expire(now)) {
        std::erase(m_dead, expired->host);
    }
    std::erase_if(m_relayed, [&](const auto& item) { return item.second.expires_at <= now; });
}

void membership_engine::publish_directory(common::steady_time now, membership_effects& effects) {
    if (now < m_next_publication) {
        return;
    }
    m_next_publication = common::steady_time::max();
    m_last_publication = now;
    effects.push_back(directory_changed{});
}

void membership_engine::send(const common::endpoint& to, datagram_body body, std::vector<member> mandatory,
                             common::steady_time now, membership_effects& effects) {
    const auto includes_self = [&] {
        return std::any_of(mandatory.begin(), mandatory.end(),
                           [&](const member& m) { return m.host == m_self->host; });
    };
    if (now < m_include_self_until && !includes_self()) {
        mandatory.push_back(*m_self);
    }
    datagram value{m_self->host, std::move(body), {}, m_log_epoch};
    if (m_latest_read) {
        value.latest_read = m_latest_read->read;
        value.latest_read->age =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - std::min(now, m_latest_read->at));
    }
    std::size_t available_bytes = max_datagram_bytes - std::min(max_datagram_bytes, estimated_size(value));
    for (member& entry : mandatory) {
        const std::size_t bytes = estimated_size(entry);
        if (bytes <= available_bytes) {
            available_bytes -= bytes;
            value.members.push_back(std::move(entry));
        }
    }
    m_queue.take(available_bytes, transmissions(), now, value.members);
    effects.push_back(send_datagram{to, std::move(value)});
}

} // namespace boragehollow::membership
