#include "boragehollow/quota/token_owner.hpp"

#include <algorithm>
#include <cmath>

namespace boragehollow::quota {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using fractional_seconds = std::chrono::duration<double>;

/// With a smaller weight, the level of a bucket may stay below one token. At most eight daemons have as much.
constexpr double min_weight_for_whole_token = 0.125;

/// With a smaller weight, the owner cannot tell whether an account is over its limit: most daemons have not
/// lent it their share yet.
constexpr double min_weight_to_judge = 0.125;

/// Below this part of its burst, a bucket serves waiting calls first.
constexpr double scarce_level = 0.25;
/// Part of a scarce bucket that one request may take for calls that are only expected.
constexpr double scarce_request_part = 0.5;

/// Decay time of the granted and refused tokens, from which the time until a token is free is estimated.
constexpr double use_decay_seconds = 0.5;

/// Rates below this one are not stated.
constexpr double min_stated_rate = 0.01;

constexpr milliseconds min_retry_after{50};
constexpr milliseconds max_retry_after{2'000};

} // namespace

token_owner::token_owner(const quota_settings& settings, std::uint64_t process, common::steady_time now)
    : m_settings(settings), m_process(process), m_started(now) {}

void token_owner::update_limits(account_limits limits, std::uint64_t config_version,
                                common::steady_time now) {
    for (std::uint32_t index = 0; index < group_count; ++index) {
        refill_group(index, now);
    }
    m_limits = std::move(limits);
    m_config_version = config_version;
    std::erase_if(m_buckets, [this](const auto& entry) { return !m_limits.contains(entry.first); });
    for (const auto& [account, limit] : m_limits) {
        m_buckets.try_emplace(account, bucket{0, 0, 0, now});
    }
    // A second refill at the same time only lowers the levels to the new bursts.
    for (std::uint32_t index = 0; index < group_count; ++index) {
        refill_group(index, now);
    }
}

void token_owner::update_members(const mesh_members& members, common::steady_time now) {
    if (members.known == 0) {
        return;
    }
    // What was due by now is added by the weight of before.
    for (std::uint32_t index = 0; index < group_count; ++index) {
        refill_group(index, now);
    }
    m_known_daemons = members.known;
    m_processes.clear();
    for (const live_daemon& daemon : members.live) {
        m_processes.emplace(daemon.host, daemon.process);
    }
    for (std::uint32_t index = 0; index < group_count; ++index) {
        group& current = m_groups[index];
        for (auto position = current.leases.begin(); position != current.leases.end();) {
            auto& [host, value] = *position;
            const auto known = m_processes.find(host);
            const bool is_long = value.end - value.granted > m_settings.lease_duration;
            const bool restarted = known != m_processes.end() && value.lender_process != 0 &&
                                   value.lender_process != known->second;
            if (is_long && (known == m_processes.end() || restarted)) {
                current.ended[host] = now;
                position = current.leases.erase(position);
                continue;
            }
            value.lender_process = known == m_processes.end() ? 0 : known->second;
            ++position;
        }
        std::erase_if(current.ended,
                      [&](const auto& entry) { return now - entry.second > m_settings.idle_lease_duration; });
        compute_weight(current);
    }
}

double token_owner::weight(std::uint32_t index, common::steady_time now) {
    end_expired_leases(index, now);
    return m_groups.at(index).weight;
}

token_reply token_owner::handle(const token_request& request, common::steady_time now) {
    token_reply reply;
    reply.sequence = request.sequence;
    reply.owner_process = m_process;
    reply.owner_time = std::chrono::duration_cast<microseconds>(now - m_started);
    reply.config_version = m_config_version;
    if (request.group >= group_count) {
        return reply;
    }
    if (request.owner_process == m_process && (request.lease || request.release)) {
        change_lease(request, now);
    }
    const double current_weight = weight(request.group, now);
    reply.without_share = current_weight < min_weight_to_judge;
    for (const account_demand& demand : request.accounts) {
        if (group_of(demand.account) != request.group) {
            continue;
        }
        reply.accounts.push_back(grant(demand, current_weight, now));
    }
    return reply;
}

std::vector<account_grants> token_owner::summarize(common::steady_time now) const {
    std::vector<account_grants> use;
    for (const auto& [account, current] : m_buckets) {
        const double elapsed = fractional_seconds(now - current.updated).count();
        const double per_second = std::exp(-elapsed / use_decay_seconds) / use_decay_seconds;
        const double granted = current.granted * per_second;
        const double refused = current.unmet * per_second;
        if (granted + refused >= min_stated_rate) {
            use.push_back({account, m_limits.find(account)->second, granted, refused});
        }
    }
    return use;
}

void token_owner::change_lease(const token_request& request, common::steady_time now) {
    group& current = m_groups[request.group];
    end_expired_leases(request.group, now);
    if (request.release) {
        current.leases.erase(request.host);
        current.ended[request.host] = now;
        compute_weight(current);
        return;
    }
    const common::steady_time granted = m_started + request.lease->granted_at;
    const common::steady_time end =
        granted + std::clamp(request.lease->duration, milliseconds(0), m_settings.idle_lease_duration);
    const auto ended = current.ended.find(request.host);
    const auto existing = current.leases.find(request.host);
    const bool outdated = (ended != current.ended.end() && granted < ended->second) ||
                          (existing != current.leases.end() && granted <= existing->second.granted);
    if (outdated || granted > now || end <= now || request.lease->known_daemons == 0) {
        return;
    }
    refill_group(request.group, now);
    const auto known = m_processes.find(request.host);
    current.leases[request.host] = {granted, end, request.lease->known_daemons,
                                    known == m_processes.end() ? 0 : known->second};
    current.ended.erase(request.host);
    compute_weight(current);
}

void token_owner::end_expired_leases(std::uint32_t index, common::steady_time now) {
    group& current = m_groups.at(index);
    if (now < current.earliest_end) {
        return;
    }
    std::erase_if(current.leases, [now](const auto& entry) { return entry.second.end <= now; });
    compute_weight(current);
}

void token_owner::compute_weight(group& current) {
    current.weight = 0;
    current.earliest_end = common::steady_time::max();
    for (const auto& [host, value] : current.leases) {
        current.weight += 1.0 / std::max(value.known_daemons, m_known_daemons);
        current.earliest_end = std::min(current.earliest_end, value.end);
    }
    current.weight = std::min(current.weight, 1.0);
}

/// Adds what was due by now. The weight of the whole time since the last refill is the one without the leases
/// that ended meanwhile, so that a paused owner adds nothing for them.
void token_owner::refill_group(std::uint32_t index, common::steady_time now) {
    const double current_weight = weight(index, now);
    for (auto& [account, current] : m_buckets) {
        if (group_of(account) == index) {
            refill(current, m_limits.find(account)->second, current_weight, now);
        }
    }
}

void token_owner::refill(bucket& current, const account_limit& limit, double weight,
                         common::steady_time now) const {
    const double elapsed = std::max(0.0, fractional_seconds(now - current.updated).count());
    const double rate = m_settings.rate_part * limit.rate_per_second + m_settings.rate_addition;
    double max_level = weight * (m_settings.burst_part * limit.burst + m_settings.burst_addition);
    if (weight >= min_weight_for_whole_token) {
        max_level = std::max(max_level, 1.0);
    }
    current.level = std::min(current.level + elapsed * rate * weight, max_level);
    const double remaining = std::exp(-elapsed / use_decay_seconds);
    current.unmet *= remaining;
    current.granted *= remaining;
    current.updated = now;
}

account_grant token_owner::grant(const account_demand& demand, double weight, common::steady_time now) {
    account_grant result{demand.account, 0, milliseconds(0)};
    const auto limit = m_limits.find(demand.account);
    if (limit == m_limits.end()) {
        return result;
    }
    bucket& current = m_buckets.find(demand.account)->second;
    refill(current, limit->second, weight, now);
    const double for_waiting = std::min(std::floor(current.level), static_cast<double>(demand.waiting));
    current.level -= for_waiting;
    const double max_level = m_settings.burst_part * limit->second.burst + m_settings.burst_addition;
    const double available = current.level < scarce_level * weight * max_level
                                 ? scarce_request_part * current.level
                                 : current.level;
    const double for_expected = std::min(std::floor(available), static_cast<double>(demand.expected));
    current.level -= for_expected;
    current.granted += for_waiting + for_expected;
    result.tokens = static_cast<std::uint32_t>(for_waiting + for_expected);
    const double unmet = demand.waiting - for_waiting;
    if (unmet > 0) {
        current.unmet += unmet;
        const double rate =
            weight * (m_settings.rate_part * limit->second.rate_per_second + m_settings.rate_addition);
        const double seconds = rate > 0 ? current.unmet / rate : fractional_seconds(max_retry_after).count();
        result.retry_after =
            std::clamp(std::chrono::ceil<milliseconds>(fractional_seconds(std::min(seconds, 60.0))),
                       min_retry_after, max_retry_after);
    }
    return result;
}

} // namespace boragehollow::quota
