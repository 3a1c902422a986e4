#include "boragehollow/membership/membership_engine.hpp"

#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/membership/roles.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <set>
#include <utility>

namespace boragehollow::membership {

namespace {

// Urgent changes within this delay are sent in the same round of pushes.
constexpr std::chrono::milliseconds push_delay{20};
constexpr std::size_t max_members_for_joiner = 4;
// A delayed announcement is seconds late, so that it is of one of the last incarnations.
constexpr std::size_t max_withdrawn_in_entry = 2;
constexpr std::chrono::seconds relayed_probe_timeout{1};
// The refutation reaches every member that could still hold the suspicion within this time.
constexpr std::chrono::seconds self_inclusion_period{3};

bool is_urgent(const merge_result& change) {
    const member& after = *change.after;
    const bool target_leaves =
        after.target.state == target_state::draining || after.target.state == target_state::gone;
    const bool starts_leaving = target_leaves && (!change.before || change.before->target != after.target);
    const bool was_suspected_or_dead = change.before && change.before->state != member_state::alive;
    const bool refuted = was_suspected_or_dead && after.state == member_state::alive;
    const bool withdraws =
        !after.withdrawn.empty() && (!change.before || change.before->withdrawn != after.withdrawn);
    return is_tombstone(after) || starts_leaving || refuted || withdraws;
}

std::optional<member_event_kind> event_of(const merge_result& change) {
    const member& after = *change.after;
    const bool state_changed = !change.before || change.before->state != after.state;
    if (state_changed && after.state != member_state::alive) {
        switch (after.state) {
        case member_state::suspect:
            return member_event_kind::suspected;
        case member_state::dead:
            return member_event_kind::died;
        default:
            return member_event_kind::left;
        }
    }
    if (!change.before) {
        return member_event_kind::joined;
    }
    if (!same_process(change.before->incarnation, after.incarnation)) {
        return member_event_kind::restarted;
    }
    if (state_changed) {
        return member_event_kind::refuted;
    }
    if (change.before->target != after.target) {
        return member_event_kind::target_changed;
    }
    return std::nullopt;
}

} // namespace

membership_engine::membership_engine(member self, std::vector<common::endpoint> seeds,
                                     membership_settings settings, common::random_source random,
                                     common::steady_time now)
    : m_self(std::make_shared<const member>(std::move(self))), m_seeds(std::move(seeds)),
      m_settings(settings), m_random(random), m_started(now),
      m_substitution(settings.reader_substitution
                         ? std::optional<reader_substitution>(*settings.reader_substitution)
                         : std::nullopt),
      m_targets(settings.lost_target_retention), m_collector(now),
      m_queue(settings.gossip_bytes_per_second, settings.gossip_burst_bytes, now), m_last_tick(now),
      m_next_probe(now + m_random.jitter(settings.period)),
      m_next_sync(now + m_random.jitter(std::chrono::seconds(1))),
      m_next_progress(now + m_random.jitter(settings.progress_interval)),
      m_next_expiry(now + std::chrono::minutes(1)), m_last_publication(now - std::chrono::hours(1)),
      m_include_self_until(now) {
    std::erase(m_seeds, m_self->gossip);
    m_table.merge(m_self, now);
    m_targets.update(m_self, now, now);
    m_queue.add(m_self, true);
    mark_directory_changed(now);
}

membership_effects membership_engine::receive(const datagram& received, const common::endpoint& from,
                                              common::steady_time now) {
    membership_effects effects;
    if (received.from_host == m_self->host) {
        return effects;
    }
    for (const member& entry : received.members) {
        apply(std::make_shared<const member>(entry), now, effects);
    }
    learn_log_read(received, now, effects);
    const auto record_version = [&](common::revision applied) {
        m_floors.record(received.from_host, applied, now);
    };
    std::visit(common::overloaded{
                   [&](const ping& request) {
                       record_version(request.applied);
                       handle_ping(received, request, from, now, effects);
                   },
                   [&](const ack& received_ack) {
                       record_version(received_ack.applied);
                       handle_ack(received, received_ack, now, effects);
                   },
                   [&](const indirect_ping& request) {
                       record_version(request.applied);
                       relay_probe(request, from, now, effects);
                   },
                   [&](const progress_report& report) {
                       record_version(report.applied);
                       handle_progress_report(received, report, now);
                   },
               },
               received.body);
    return effects;
}

void membership_engine::handle_ping(const datagram& received, const ping& request,
                                    const common::endpoint& from, common::steady_time now,
                                    membership_effects& effects) {
    std::vector<member> mandatory;
    const member_ref sender = m_table.find(received.from_host);
    // A sender that is not considered alive needs to know this, so that it can refute it.
    if (sender && sender->state != member_state::alive) {
        mandatory.push_back(*sender);
    }
    for (const member& entry : received.members) {
        const member_ref known = m_table.find(entry.host);
        const bool outdated = known && known != sender && join(*known, entry) == *known && *known != entry;
        if (outdated) {
            mandatory.push_back(*known);
        }
    }
    const bool has_sender_entry = std::any_of(received.members.begin(), received.members.end(),
                                              [&](const member& m) { return m.host == received.from_host; });
    if (has_sender_entry) {
        if (std::find(mandatory.begin(), mandatory.end(), *m_self) == mandatory.end()) {
            mandatory.push_back(*m_self);
        }
        // With other members to choose from, joining daemons do not all request the table of the seed.
        for (const std::string& host :
             m_own_domain_members.pick(max_members_for_joiner, received.from_host, m_random)) {
            mandatory.push_back(*m_table.find(host));
        }
    }
    send(from, ack{request.sequence, m_applied, {}}, std::move(mandatory), now, effects);
}

void membership_engine::relay_probe(const indirect_ping& request, const common::endpoint& from,
                                    common::steady_time now, membership_effects& effects) {
    const member_ref probed = m_table.find(request.probe_host);
    if (!probed || has_left()) {
        return;
    }
    const std::uint64_t sequence = ++m_last_sequence;
    m_relayed[sequence] = {from, request.sequence, request.probe_host, now + relayed_probe_timeout};
    send(probed->gossip, ping{sequence, m_applied}, {}, now, effects);
}

void membership_engine::handle_ack(const datagram& received, const ack& received_ack, common::steady_time now,
                                   membership_effects& effects) {
    const std::string& responder =
        received_ack.probed_host.empty() ? received.from_host : received_ack.probed_host;
    m_probes.acknowledge(received_ack.sequence, responder);
    const auto relayed = m_relayed.find(received_ack.sequence);
    if (relayed == m_relayed.end() || relayed->second.host != received.from_host) {
        return;
    }
    const relayed_probe relay = std::move(relayed->second);
    m_relayed.erase(relayed);
    send(relay.requester, ack{relay.requester_sequence, m_applied, relay.host}, {}, now, effects);
}

void membership_engine::handle_progress_report(const datagram& received, const progress_report& report,
                                               common::steady_time now) {
    const member_ref sender = m_table.find(received.from_host);
    if (!sender || !is_own_domain(*sender)) {
        return;
    }
    const domain_roles& current = roles();
    if (!current.collectors.empty() && collector_of(received.from_host, current.collectors) == m_self->host) {
        m_collector.record(received.from_host, report.applied, now);
    }
    for (const collected_progress& group : report.collected) {
        for (const std::uint64_t hash : group.host_hashes) {
            const auto host = current.host_by_hash.find(hash);
            if (host != current.host_by_hash.end()) {
                m_floors.record(host->second, group.applied, now);
            }
        }
    }
}

void membership_engine::apply(const member_ref& received, common::steady_time now,
                              membership_effects& effects) {
    if (received->host == m_self->host) {
        refute(*received, now, effects);
        return;
    }
    const merge_result change = m_table.merge(received, now);
    const bool entry_changed =
        change.outcome == merge_outcome::changed || change.outcome == merge_outcome::combined;
    if (entry_changed) {
        apply_change(change, now, effects);
    }
}

void membership_engine::apply_change(const merge_result& change, common::steady_time now,
                                     membership_effects& effects) {
    update_member_lists(change, now);
    if (change.before && !same_process(change.before->incarnation, change.after->incarnation)) {
        m_withdrawals.record(change.before->host, change.before->withdrawn, now);
    }
    if (m_targets.update(change.after, first_seen_of(*change.after, now), now)) {
        mark_directory_changed(now);
    }
    const bool urgent = is_urgent(change);
    if (m_gossip_changes) {
        m_queue.add(change.after, urgent);
    }
    if (urgent && m_gossip_changes) {
        m_next_push = std::min(m_next_push, now + push_delay);
    }
    if (const auto kind = event_of(change)) {
        mark_directory_changed(now);
        effects.push_back(member_event{*kind, change.after});
    }
}

void membership_engine::update_member_lists(const merge_result& change, common::steady_time now) {
    const member& after = *change.after;
    const bool moved = change.before && change.before->failure_domain != after.failure_domain;
    if (moved) {
        m_own_domain_members.remove(after.host);
        m_other_domain_members.remove(after.host);
    }
    probe_order& listed = is_own_domain(after) ? m_own_domain_members : m_other_domain_members;
    const bool was_listed = change.before && !is_tombstone(*change.before) && !moved;
    if (is_tombstone(after)) {
        listed.remove(after.host);
        m_collector.remove(after.host);
        m_roles.reset();
    } else if (!was_listed) {
        listed.add(after.host, m_random);
        m_roles.reset();
    }
    m_suspicions.cancel(after.host);
    std::erase(m_dead, after.host);
    if (!is_own_domain(after)) {
        return;
    }
    if (after.state == member_state::suspect) {
        m_suspicions.start_remote(after.host, now + m_settings.suspicion + m_settings.remote_suspicion_grace);
    }
    if (after.state == member_state::dead) {
        m_dead.push_back(after.host);
    }
}

common::steady_time membership_engine::first_seen_of(const member& value, common::steady_time now) const {
    if (m_has_whole_table) {
        return now;
    }
    // A starting daemon has no record of the target. The start time of the target's process, by both wall
    // clocks, is the best bound on when other daemons first saw the target.
    const auto earlier = process_start(m_self->incarnation) - process_start(value.incarnation);
    return std::min(now, m_started - std::chrono::duration_cast<common::steady_clock::duration>(earlier));
}

void membership_engine::refute(const member& claim, common::steady_time now, membership_effects& effects) {
    if (has_left() || claim.incarnation < m_self->incarnation) {
        return;
    }
    const bool consistent = claim.incarnation == m_self->incarnation && claim.state == member_state::alive &&
                            claim.target_sequence <= m_self->target_sequence;
    if (consistent) {
        return;
    }
    member raised = *m_self;
    if (same_process(claim.incarnation, m_self->incarnation)) {
        raised.incarnation = claim.incarnation + 1;
    } else {
        // The incarnation stays distinguishable from that of the process whose entry it replaces.
        const common::wall_time after_other = process_start(claim.incarnation) + std::chrono::milliseconds(1);
        raised.incarnation = first_incarnation(after_other);
        const bool from_other_process = !is_tombstone(claim) && claim.gossip != m_self->gossip;
        if (from_other_process) {
            effects.push_back(
                member_event{member_event_kind::name_conflict, std::make_shared<const member>(claim)});
        }
    }
    m_self = std::make_shared<const member>(std::move(raised));
    m_include_self_until = now + self_inclusion_period;
    effects.push_back(member_event{member_event_kind::self_refuted, m_self});
    publish_self(now, effects);
}

void membership_engine::publish_self(common::steady_time now, membership_effects& effects) {
    m_table.merge(m_self, now);
    if (m_targets.update(m_self, now, now)) {
        mark_directory_changed(now);
    }
    m_queue.add(m_self, true);
    push({*m_self}, now, effects);
}

membership_effects membership_engine::announce_local_target(target_announcement announcement,
                                                            common::steady_time now) {
    membership_effects effects;
    if (announcement == m_self->target) {
        return effects;
    }
    member changed = *m_self;
    changed.target = std::move(announcement);
    ++changed.target_sequence;
    if (estimated_size(changed) > max_member_bytes) {
        effects.push_back(member_event{member_event_kind::announcement_refused,
                                       std::make_shared<const member>(std::move(changed))});
        return effects;
    }
    m_self = std::make_shared<const member>(std::move(changed));
    effects.push_back(member_event{member_event_kind::target_changed, m_self});
    publish_self(now, effects);
    return effects;
}

membership_effects membership_engine::set_withdrawn(const std::vector<common::withdrawn_instance>& withdrawn,
                                                    common::steady_time now) {
    member changed = *m_self;
    const std::size_t count = std::min(withdrawn.size(), max_withdrawn_in_entry);
    changed.withdrawn.assign(withdrawn.end() - static_cast<std::ptrdiff_t>(count), withdrawn.end());
    while (!changed.withdrawn.empty() && estimated_size(changed) > max_member_bytes) {
        changed.withdrawn.erase(changed.withdrawn.begin());
    }
    membership_effects effects;
    if (changed.withdrawn == m_self->withdrawn) {
        return effects;
    }
    ++changed.target_sequence;
    m_self = std::make_shared<const member>(std::move(changed));
    publish_self(now, effects);
    return effects;
}

std::vector<member_ref> membership_engine::pick_keepers() {
    std::vector<member_ref> keepers;
    for (const probe_order* members : {&m_own_domain_members, &m_other_domain_members}) {
        for (const std::string& host : members->pick(1, m_self->host, m_random)) {
            keepers.push_back(m_table.find(host));
        }
    }
    return keepers;
}

membership_effects membership_engine::set_applied_version(common::revision applied, common::steady_time now) {
    membership_effects effects;
    if (applied <= m_applied) {
        return effects;
    }
    m_applied = applied;
    // The members of a domain apply a change at nearly the same time, so their reports are spread by jitter.
    m_next_progress = std::min(m_next_progress, now + m_random.jitter(std::chrono::seconds(1)));
    if (!has_left()) {
        disseminate_version(now, effects);
    }
    return effects;
}

std::vector<std::string> membership_engine::pick_receivers(std::size_t fan_out) {
    const std::vector<std::string>& hosts = m_own_domain_members.hosts();
    return hosts.size() <= fan_out ? hosts : m_own_domain_members.pick(fan_out, m_self->host, m_random);
}

void membership_engine::disseminate_version(common::steady_time now, membership_effects& effects) {
    const std::size_t fan_out =
        reads_log() ? m_settings.version_fan_out_of_reader : m_settings.version_fan_out;
    if (fan_out == 0) {
        return;
    }
    std::vector<std::string> receivers = pick_receivers(fan_out);
    // This reaches a failure domain whose own log readers cannot reach the platform's log. A daemon that
    // reads the log sends to several, since most of them may have just ended.
    const std::size_t remote_receivers = reads_log() ? m_settings.version_fan_out : 1;
    std::vector<std::string> remote = m_other_domain_members.pick(remote_receivers, m_self->host, m_random);
    std::move(remote.begin(), remote.end(), std::back_inserter(receivers));
    for (const std::string& host : receivers) {
        send(m_table.find(host)->gossip, progress_report{m_applied, {}}, {}, now, effects);
    }
}

membership_effects membership_engine::leave(common::steady_time now) {
    membership_effects effects;
    if (has_left()) {
        return effects;
    }
    member leaving = *m_self;
    leaving.state = member_state::left;
    m_self = std::make_shared<const member>(std::move(leaving));
    publish_self(now, effects);
    return effects;
}

std::shared_ptr<const target_directory> membership_engine::directory(common::steady_time now) {
    m_targets.expire(now);
    return m_targets.directory();
}

member_ref membership_engine::find(std::string_view host) const {
    return m_table.find(host);
}

std::vector<member_ref> membership_engine::members() const {
    return m_table.entries();
}

member_counts membership_engine::counts() const {
    member_counts counts;
    for (const member_ref& value : m_table.entries()) {
        switch (value->state) {
        case member_state::alive:
            ++counts.alive;
            break;
        case member_state::suspect:
            ++counts.suspect;
            break;
        case member_state::dead:
            ++counts.dead;
            break;
        case member_state::left:
            ++counts.left;
            break;
        }
    }
    return counts;
}

std::vector<std::string> membership_engine::live_hosts(std::string_view failure_domain) const {
    std::vector<std::string> hosts;
    for (const member_ref& value : m_table.entries()) {
        if (!is_tombstone(*value) && value->failure_domain == failure_domain) {
            hosts.push_back(value->host);
        }
    }
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

std::vector<std::string> membership_engine::failure_domains() const {
    std::set<std::string> domains;
    for (const member_ref& value : m_table.entries()) {
        domains.insert(value->failure_domain);
    }
    return {domains.begin(), domains.end()};
}

common::revision membership_engine::floor(std::string_view host) const {
    return m_floors.floor(host);
}

progress_counts membership_engine::progress(common::revision version) const {
    progress_counts counts{1, m_applied >= version ? 1U : 0U, m_applied};
    for (const std::string& host : m_own_domain_members.hosts()) {
        const common::revision applied = m_floors.floor(host);
        ++counts.members;
        counts.at_or_past += applied >= version ? 1 : 0;
        counts.oldest = std::min(counts.oldest, applied);
    }
    return counts;
}

std::size_t membership_engine::transmissions() const {
    const double members = static_cast<double>(m_own_domain_members.hosts().size()) + 2;
    return static_cast<std::size_t>(std::ceil(2 * std::log(members)));
}

void membership_engine::mark_directory_changed(common::steady_time now) {
    // Changes in quick succession are published together.
    constexpr std::chrono::milliseconds spacing{100};
    m_next_publication = std::min(m_next_publication, std::max(now, m_last_publication + spacing));
}

} // namespace boragehollow::membership
