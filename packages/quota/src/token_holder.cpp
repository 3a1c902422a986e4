#include "boragehollow/quota/token_holder.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace boragehollow::quota {

namespace {

using fractional_seconds = std::chrono::duration<double>;

/// Decay time of the count of calls, from which the calls until the next request are estimated.
constexpr double demand_decay_seconds = 0.5;

/// Tokens are asked for this time ahead: the interval of the requests and some more.
constexpr double demand_ahead_seconds = 0.3;
/// With tokens for less than this time, the holder asks before the first call has to wait.
constexpr double min_held_seconds = 0.1;

} // namespace

token_holder::token_holder(const quota_settings& settings, std::string own_host, common::steady_time now)
    : m_settings(settings), m_own_host(std::move(own_host)), m_lending_start(now + settings.lease_duration) {
    for (group_state& group : m_groups) {
        group.last_call = now;
    }
}

void token_holder::update_limits(account_limits limits, std::uint64_t config_version) {
    for (const auto& [account, limit] : limits) {
        const auto before = m_limits.find(account);
        if (before != m_limits.end() && before->second == limit) {
            continue;
        }
        // The first limits of this process may be those of older versions, too.
        m_limit_versions[account] = m_limits.empty() ? 0 : config_version;
        auto& accounts = m_groups.at(group_of(account)).accounts;
        const auto state = accounts.find(account);
        if (state != accounts.end()) {
            state->second.held.clear();
        }
    }
    const auto no_limit = [&](const auto& entry) { return !limits.contains(entry.first); };
    for (group_state& group : m_groups) {
        std::erase_if(group.accounts,
                      [&](const auto& entry) { return no_limit(entry) && entry.second.waiting.empty(); });
    }
    std::erase_if(m_limit_versions, no_limit);
    m_limits = std::move(limits);
}

void token_holder::update_members(mesh_members members, common::steady_time now, holder_effects& effects) {
    const std::vector<live_daemon> previous = std::exchange(m_members, std::move(members)).live;
    for (const live_daemon& daemon : m_members.live) {
        // A daemon that has returned is asked again.
        if (std::ranges::find(previous, daemon) == previous.end()) {
            m_avoided.erase(daemon.host);
        }
    }
    for (std::uint32_t index = 0; index < group_count; ++index) {
        group_state& group = m_groups[index];
        group.order = owner_order(index, m_members);
        if (group.lent) {
            const auto owner = std::ranges::find(m_members.live, group.lent->host, &live_daemon::host);
            if (owner == m_members.live.end()) {
                group.lent->owner_lost = group.lent->owner_lost.value_or(now);
            } else if (owner->process > group.lent->process) {
                // The process that had the lease has ended.
                group.lent.reset();
            } else {
                group.lent->owner_lost.reset();
            }
        }
        advance(index, now, effects);
    }
}

take_result token_holder::take(std::string_view account, std::uint64_t call, common::steady_time now,
                               holder_effects& effects) {
    const std::uint32_t index = group_of(account);
    group_state& group = m_groups.at(index);
    auto found = group.accounts.find(account);
    if (found == group.accounts.end()) {
        found = group.accounts.emplace(std::string(account), account_state{}).first;
        found->second.counted = now;
    }
    account_state& state = found->second;
    count_call(state, now);
    group.last_call = now;
    if (now - group.last_request >= m_settings.request_interval) {
        group.runs_short = group.runs_short || runs_short(state, now);
    }
    const bool taken = state.waiting.empty() && take_held(state, now);
    if (!taken) {
        state.waiting.push_back({call, now});
        ++group.waiting_calls;
    }
    advance(index, now, effects);
    return taken ? take_result::taken : take_result::waits;
}

void token_holder::cancel(std::string_view account, std::uint64_t call) {
    group_state& group = m_groups.at(group_of(account));
    const auto found = group.accounts.find(account);
    if (found != group.accounts.end()) {
        group.waiting_calls -= std::erase_if(
            found->second.waiting, [call](const waiting_call& waiting) { return waiting.call == call; });
    }
}

void token_holder::tick(common::steady_time now, holder_effects& effects) {
    for (std::uint32_t index = 0; index < group_count; ++index) {
        advance(index, now, effects);
    }
}

bool token_holder::take_held(account_state& account, common::steady_time now) const {
    while (!account.held.empty() && (account.held.front().end <= now || account.held.front().count == 0)) {
        account.held.pop_front();
    }
    if (account.held.empty()) {
        return false;
    }
    --account.held.front().count;
    return true;
}

void token_holder::count_call(account_state& account, common::steady_time now) const {
    account.recent_calls = demand_per_second(account, now) * demand_decay_seconds + 1;
    account.counted = now;
}

double token_holder::demand_per_second(const account_state& account, common::steady_time now) const {
    const double elapsed = fractional_seconds(now - account.counted).count();
    return account.recent_calls * std::exp(-elapsed / demand_decay_seconds) / demand_decay_seconds;
}

std::uint32_t token_holder::expected_calls(const account_state& account, common::steady_time now) const {
    double held = 0;
    for (const tokens& entry : account.held) {
        held += entry.end > now ? entry.count : 0;
    }
    return static_cast<std::uint32_t>(
        std::max(0.0, demand_per_second(account, now) * demand_ahead_seconds - held));
}

bool token_holder::runs_short(const account_state& account, common::steady_time now) const {
    const double demand = demand_per_second(account, now);
    if (demand * demand_ahead_seconds < 1) {
        return false;
    }
    const double needed_ahead = demand * (demand_ahead_seconds - min_held_seconds);
    return expected_calls(account, now) >= std::max(1.0, std::floor(needed_ahead));
}

std::optional<common::steady_time> token_holder::next_ask(const group_state& group) const {
    std::optional<common::steady_time> next;
    if (group.waiting_calls == 0) {
        return next;
    }
    for (const auto& [account, state] : group.accounts) {
        if (!state.waiting.empty()) {
            next = std::min(next.value_or(state.next_ask), state.next_ask);
        }
    }
    return next;
}

void token_holder::refuse_late_calls(group_state& group, common::steady_time now,
                                     holder_effects& effects) const {
    if (group.waiting_calls == 0) {
        return;
    }
    for (auto& [account, state] : group.accounts) {
        while (!state.waiting.empty() && now - state.waiting.front().since >= m_settings.max_call_wait) {
            // An account that was short of tokens just now is still over its limit when a reply is late.
            const bool short_of_tokens = now - state.shortage < m_settings.request_interval;
            effects.emplace_back(
                short_of_tokens
                    ? call_refused{state.waiting.front().call, quota_refusal::over_limit, state.estimate}
                    : call_refused{state.waiting.front().call, quota_refusal::no_owner,
                                   m_settings.request_interval});
            state.waiting.pop_front();
            --group.waiting_calls;
        }
    }
}

void token_holder::distribute(group_state& group, const pending_request& request, const token_reply& reply,
                              common::steady_time now, holder_effects& effects) const {
    for (const account_grant& grant : reply.accounts) {
        const auto found = group.accounts.find(grant.account);
        const auto changed = m_limit_versions.find(grant.account);
        if (found == group.accounts.end() || changed == m_limit_versions.end()) {
            continue;
        }
        const bool outdated = reply.config_version < changed->second;
        account_state& state = found->second;
        const common::steady_time end = request.sent + m_settings.token_lifetime;
        if (grant.tokens > 0 && end > now && !outdated) {
            state.held.push_back({grant.tokens, end});
        }
        while (!state.waiting.empty() && take_held(state, now)) {
            effects.emplace_back(call_granted{state.waiting.front().call});
            state.waiting.pop_front();
            --group.waiting_calls;
        }
        const auto included = request.calls.find(grant.account);
        if (included == request.calls.end() || state.waiting.empty()) {
            continue;
        }
        const bool not_served =
            std::ranges::find(included->second, state.waiting.front().call) != included->second.end();
        if (grant.retry_after.count() > 0 || not_served) {
            state.next_ask = now + m_settings.shortage_interval;
        }
        // Without a share, the owner may have tokens after the next leases: the calls keep waiting.
        if (grant.retry_after.count() > 0 && !reply.without_share) {
            state.shortage = now;
            state.estimate = grant.retry_after;
            refuse_calls(group, grant.account, included->second, grant, effects);
        }
    }
}

/// Refuses the calls that were part of a request and got no token.
void token_holder::refuse_calls(group_state& group, const std::string& account,
                                const std::vector<std::uint64_t>& calls, const account_grant& grant,
                                holder_effects& effects) const {
    const quota_refusal reason =
        group.owner == m_own_host && !group.order.empty() && group.order.front() != m_own_host
            ? quota_refusal::no_owner
            : quota_refusal::over_limit;
    std::deque<waiting_call>& waiting = group.accounts[account].waiting;
    while (!waiting.empty() && std::ranges::find(calls, waiting.front().call) != calls.end()) {
        effects.emplace_back(call_refused{waiting.front().call, reason, grant.retry_after});
        waiting.pop_front();
        --group.waiting_calls;
    }
}

} // namespace boragehollow::quota
