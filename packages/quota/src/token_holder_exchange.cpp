#include "boragehollow/quota/token_holder.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::quota {

namespace {

/// An owner that did not reply to this many requests in a row is avoided.
constexpr std::uint32_t max_lost_replies = 2;
/// The time of avoidance doubles this often.
constexpr std::uint32_t max_avoidance_doublings = 2;

} // namespace

void token_holder::receive(const std::string& host, std::uint32_t group, std::uint64_t sequence,
                           const std::optional<token_reply>& reply, common::steady_time now,
                           holder_effects& effects) {
    group_state& current = m_groups.at(group);
    if (!current.pending || current.pending->sequence != sequence || current.pending->host != host) {
        return;
    }
    if (!reply || reply->sequence != sequence) {
        reply_lost(current, now);
        advance(group, now, effects);
        return;
    }
    const pending_request request = std::move(*current.pending);
    current.pending.reset();
    m_avoided.erase(host);
    if (current.lent && current.lent->host == host) {
        if (request.kind == request_kind::release || reply->owner_process > current.lent->process) {
            current.lent.reset();
        } else if (request.lease_end) {
            current.lent->end = *request.lease_end;
        }
    }
    if (request.kind == request_kind::probe) {
        set_owner(group, host, effects);
    }
    if (host == current.owner) {
        current.clock = owner_clock{reply->owner_process, reply->owner_time, now, false};
    }
    distribute(current, request, *reply, now, effects);
    advance(group, now, effects);
}

void token_holder::reply_lost(group_state& group, common::steady_time now) {
    const pending_request request = std::move(*group.pending);
    group.pending.reset();
    if (request.kind == request_kind::release && group.lent) {
        group.lent->release_tried = true;
    }
    avoided_owner& entry = m_avoided[request.host];
    ++entry.failures;
    if (entry.failures >= max_lost_replies) {
        const std::uint32_t doublings = std::min(entry.failures - max_lost_replies, max_avoidance_doublings);
        entry.until = now + m_settings.avoidance * (1U << doublings);
    }
}

bool token_holder::avoided(const std::string& host, common::steady_time now) const {
    const auto found = m_avoided.find(host);
    return found != m_avoided.end() && found->second.until > now;
}

bool token_holder::alive(const std::string& host) const {
    return host == m_own_host ||
           std::ranges::find(m_members.live, host, &live_daemon::host) != m_members.live.end();
}

/// Without any other owner, the own daemon grants from the own share.
std::string token_holder::preferred_owner(const group_state& group, common::steady_time now) const {
    const auto found =
        std::ranges::find_if(group.order, [&](const std::string& host) { return !avoided(host, now); });
    return found == group.order.end() ? m_own_host : *found;
}

void token_holder::set_owner(std::uint32_t index, const std::string& owner, holder_effects& effects) {
    group_state& group = m_groups.at(index);
    if (group.owner != owner) {
        group.owner = owner;
        group.clock.reset();
        effects.emplace_back(owner_changed{index, owner});
    }
}

void token_holder::advance(std::uint32_t index, common::steady_time now, holder_effects& effects) {
    group_state& group = m_groups.at(index);
    refuse_late_calls(group, now, effects);
    if (group.pending && now - group.pending->sent < m_settings.reply_timeout) {
        return;
    }
    if (group.pending) {
        reply_lost(group, now);
    }
    end_lent_share(group, now);
    if (m_limits.empty() || m_members.known == 0) {
        return;
    }
    if (change_owner(index, now, effects)) {
        return;
    }
    const auto ask_time = next_ask(group);
    const bool calls_wait = ask_time && now >= *ask_time;
    if (calls_wait || group.runs_short || now >= lease_due(group, now)) {
        send(index, request_kind::ask, group.owner, now, effects);
    }
}

bool token_holder::change_owner(std::uint32_t index, common::steady_time now, holder_effects& effects) {
    group_state& group = m_groups.at(index);
    const std::string preferred = preferred_owner(group, now);
    if (group.owner != preferred) {
        if (group.owner.empty() || avoided(group.owner, now) || !alive(group.owner)) {
            set_owner(index, preferred, effects);
        } else if (now >= group.next_probe) {
            // The present owner stays in use until the preferred one has replied.
            group.next_probe = now + m_settings.avoidance;
            send(index, request_kind::probe, preferred, now, effects);
            return true;
        }
    }
    const bool lent_elsewhere = group.lent && group.lent->host != group.owner;
    if (lent_elsewhere && !group.lent->release_tried && !avoided(group.lent->host, now) &&
        alive(group.lent->host)) {
        send(index, request_kind::release, group.lent->host, now, effects);
        return true;
    }
    return false;
}

bool token_holder::is_idle(const group_state& group, common::steady_time now) const {
    return now - group.last_call >= m_settings.idle_after;
}

bool token_holder::share_is_free(const group_state& group) const {
    return !group.lent ||
           (group.lent->host == group.owner && (!group.clock || group.lent->process == group.clock->process));
}

void token_holder::end_lent_share(group_state& group, common::steady_time now) const {
    if (!group.lent) {
        return;
    }
    const bool owner_lost =
        group.lent->owner_lost && now - *group.lent->owner_lost >= m_settings.lost_owner_delay;
    if (group.lent->end <= now || owner_lost) {
        group.lent.reset();
    }
}

common::steady_time token_holder::lease_due(const group_state& group, common::steady_time now) const {
    if (!share_is_free(group)) {
        return common::steady_time::max();
    }
    if (!group.lent) {
        return m_lending_start;
    }
    const bool idle = is_idle(group, now);
    if (idle && group.lent->idle) {
        return group.lent->renewed + m_settings.idle_lease_duration / 2;
    }
    if (group.lent->idle) {
        return now;
    }
    const common::steady_time renewal = group.lent->renewed + m_settings.lease_renewal;
    return idle ? now : renewal;
}

void token_holder::add_lease(group_state& group, token_request& request, pending_request& pending,
                             common::steady_time now) const {
    if (now < m_lending_start || !share_is_free(group) || !group.clock || group.clock->used) {
        return;
    }
    const bool idle = is_idle(group, now);
    const std::chrono::milliseconds duration =
        idle ? m_settings.idle_lease_duration : m_settings.lease_duration;
    if (now - group.clock->received >= duration / 2) {
        return;
    }
    group.clock->used = true;
    request.lease = share_lease{group.clock->time, duration, m_members.known};
    const common::steady_time end = group.clock->received + duration;
    pending.lease_end = end;
    if (!group.lent) {
        group.lent = lent_share();
        group.lent->host = group.owner;
        group.lent->process = group.clock->process;
    }
    group.lent->end = std::max(group.lent->end, end);
    group.lent->renewed = now;
    group.lent->idle = idle;
    group.lent->release_tried = false;
}

void token_holder::add_demand(group_state& group, token_request& request, pending_request& pending,
                              common::steady_time now) const {
    for (const auto& [account, state] : group.accounts) {
        account_demand demand{account, static_cast<std::uint32_t>(state.waiting.size()),
                              expected_calls(state, now)};
        if (demand.waiting == 0 && demand.expected == 0) {
            continue;
        }
        std::vector<std::uint64_t>& calls = pending.calls[account];
        for (const waiting_call& waiting : state.waiting) {
            calls.push_back(waiting.call);
        }
        request.accounts.push_back(std::move(demand));
    }
}

void token_holder::send(std::uint32_t index, request_kind kind, const std::string& host,
                        common::steady_time now, holder_effects& effects) {
    group_state& group = m_groups.at(index);
    pending_request pending;
    pending.kind = kind;
    pending.host = host;
    pending.sequence = ++m_sequence;
    pending.sent = now;
    token_request request;
    request.host = m_own_host;
    request.group = index;
    request.sequence = pending.sequence;
    switch (kind) {
    case request_kind::ask:
        request.owner_process = group.clock ? group.clock->process : 0;
        add_lease(group, request, pending, now);
        add_demand(group, request, pending, now);
        group.last_request = now;
        group.runs_short = false;
        break;
    case request_kind::probe:
        break;
    case request_kind::release:
        request.owner_process = group.lent->process;
        request.release = true;
        break;
    }
    group.pending = std::move(pending);
    effects.emplace_back(send_request{host, std::move(request)});
}

std::optional<common::steady_time> token_holder::next_wakeup() const {
    std::optional<common::steady_time> next;
    const auto consider = [&next](common::steady_time time) { next = next ? std::min(*next, time) : time; };
    for (const group_state& group : m_groups) {
        if (group.waiting_calls > 0) {
            for (const auto& [account, state] : group.accounts) {
                if (!state.waiting.empty()) {
                    consider(state.waiting.front().since + m_settings.max_call_wait);
                }
            }
        }
        if (group.pending) {
            consider(group.pending->sent + m_settings.reply_timeout);
            continue;
        }
        if (m_limits.empty() || m_members.known == 0) {
            continue;
        }
        if (const auto ask_time = next_ask(group)) {
            consider(*ask_time);
        }
        if (group.lent && !share_is_free(group)) {
            consider(group.lent->end);
            if (group.lent->owner_lost) {
                consider(*group.lent->owner_lost + m_settings.lost_owner_delay);
            }
        } else if (!group.lent) {
            consider(m_lending_start);
        } else if (group.lent->idle) {
            consider(group.lent->renewed + m_settings.idle_lease_duration / 2);
        } else {
            consider(group.lent->renewed + m_settings.lease_renewal);
        }
        if (group.order.empty() || group.owner == group.order.front()) {
            continue;
        }
        const auto avoidance = m_avoided.find(group.order.front());
        const common::steady_time end =
            avoidance == m_avoided.end() ? group.next_probe : avoidance->second.until;
        consider(std::max(group.next_probe, end));
    }
    return next;
}

} // namespace boragehollow::quota
