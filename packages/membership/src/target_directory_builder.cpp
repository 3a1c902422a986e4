#include "boragehollow/membership/target_directory_builder.hpp"

#include <algorithm>

namespace boragehollow::membership {

namespace {

bool takes_no_new_work(const member& value) {
    const bool leaving =
        value.target.state == target_state::draining || value.target.state == target_state::gone;
    return leaving || is_tombstone(value);
}

bool has_target(const member& value) {
    return !value.target.service.empty() && value.target.state != target_state::none;
}

/// True when the retention time of a lost target applies. A draining target on a live host stays listed for
/// as long as it drains.
bool has_departed(const member& value) {
    return is_tombstone(value) || value.target.state == target_state::gone;
}

} // namespace

const target_list& target_directory::targets_of(std::string_view service) const {
    static const target_list none;
    const auto found = m_services.find(service);
    return found == m_services.end() ? none : *found->second;
}

bool target_directory_builder::update(const member_ref& value, common::steady_time first_seen,
                                      common::steady_time now) {
    const bool listed = has_target(*value);
    const auto known_host = m_by_host.find(value->host);
    if (!listed && known_host == m_by_host.end()) {
        return false;
    }
    std::vector<instance>& instances = m_by_host[value->host];
    bool changed = false;
    bool found = false;
    for (instance& known : instances) {
        const bool same = listed && same_process(known.value->incarnation, value->incarnation) &&
                          known.value->target.service == value->target.service;
        if (same) {
            found = true;
            changed |= refresh(known, value, now);
            continue;
        }
        if (!known.lost_since || !has_departed(*known.value)) {
            mark_lost(known, now);
            changed = true;
        }
    }
    if (!listed || found) {
        return changed;
    }
    instance added{value, first_seen, std::nullopt};
    if (takes_no_new_work(*value)) {
        added.lost_since = now;
        m_expiries.emplace(now + m_lost_retention, value->host);
    }
    mark_changed(added);
    m_hosts_by_service[value->target.service].insert(value->host);
    instances.push_back(std::move(added));
    return true;
}

void target_directory_builder::mark_lost(instance& lost, common::steady_time now) {
    member gone = *lost.value;
    gone.target.state = target_state::gone;
    lost.value = std::make_shared<const member>(std::move(gone));
    if (!lost.lost_since) {
        lost.lost_since = now;
    }
    m_expiries.emplace(*lost.lost_since + m_lost_retention, lost.value->host);
    mark_changed(lost);
}

bool target_directory_builder::refresh(instance& known, const member_ref& value, common::steady_time now) {
    const member_ref before = std::exchange(known.value, value);
    // Idempotency keys are placed on ready targets only, so the target counts as first seen when it gets
    // ready.
    const bool became_ready =
        before->target.state == target_state::starting && value->target.state == target_state::ready;
    if (became_ready) {
        known.first_seen = now;
    }
    if (!takes_no_new_work(*value)) {
        known.lost_since.reset();
    } else if (!known.lost_since) {
        known.lost_since = now;
    }
    if (known.lost_since && has_departed(*value)) {
        m_expiries.emplace(std::max(*known.lost_since + m_lost_retention, now), value->host);
    }
    const bool unchanged_listing = before->target == value->target && before->peer == value->peer &&
                                   is_tombstone(*before) == is_tombstone(*value);
    if (!unchanged_listing) {
        mark_changed(known);
    }
    return !unchanged_listing;
}

bool target_directory_builder::expire(common::steady_time now) {
    bool changed = false;
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const std::string host = m_expiries.begin()->second;
        m_expiries.erase(m_expiries.begin());
        const auto found = m_by_host.find(host);
        if (found == m_by_host.end()) {
            continue;
        }
        std::vector<instance>& instances = found->second;
        const auto expired = [&](const instance& known) {
            return known.lost_since && has_departed(*known.value) &&
                   *known.lost_since + m_lost_retention <= now;
        };
        for (const instance& known : instances) {
            if (expired(known)) {
                mark_changed(known);
                m_hosts_by_service[known.value->target.service].erase(host);
                changed = true;
            }
        }
        std::erase_if(instances, expired);
        for (const instance& known : instances) {
            m_hosts_by_service[known.value->target.service].insert(host);
        }
        if (instances.empty()) {
            m_by_host.erase(found);
        }
    }
    return changed;
}

common::steady_time target_directory_builder::next_expiry() const {
    return m_expiries.empty() ? common::steady_time::max() : m_expiries.begin()->first;
}

std::shared_ptr<const target_directory> target_directory_builder::directory() {
    if (m_changed_services.empty()) {
        return m_directory;
    }
    target_directory::service_map services = m_directory->services();
    for (const std::string& service : m_changed_services) {
        std::shared_ptr<const target_list> targets = build(service);
        if (targets->empty()) {
            services.erase(service);
            m_hosts_by_service.erase(service);
            continue;
        }
        services[service] = std::move(targets);
    }
    m_changed_services.clear();
    m_directory = std::make_shared<const target_directory>(std::move(services));
    return m_directory;
}

std::shared_ptr<const target_list> target_directory_builder::build(const std::string& service) const {
    auto targets = std::make_shared<target_list>();
    const auto hosts = m_hosts_by_service.find(service);
    if (hosts == m_hosts_by_service.end()) {
        return targets;
    }
    for (const std::string& host : hosts->second) {
        const instance* newest = nullptr;
        std::optional<common::steady_time> previous_lost_since;
        for (const instance& known : m_by_host.at(host)) {
            if (known.value->target.service != service) {
                continue;
            }
            if (newest != nullptr) {
                previous_lost_since = newest->lost_since;
            }
            newest = &known;
        }
        if (newest == nullptr) {
            continue;
        }
        const member& value = *newest->value;
        std::optional<common::steady_time> lost_since = newest->lost_since;
        if (!lost_since && previous_lost_since) {
            // A restart and the loss of the previous process can be detected at the same time. A loss time
            // before `first_seen` means that the previous process was lost, not the new one.
            lost_since = std::min(*previous_lost_since, newest->first_seen - std::chrono::microseconds(1));
        }
        targets->push_back({value.host, value.failure_domain, value.peer, value.target.labels,
                            value.target.slots, value.target.state, value.incarnation, newest->first_seen,
                            lost_since});
    }
    return targets;
}

} // namespace boragehollow::membership
