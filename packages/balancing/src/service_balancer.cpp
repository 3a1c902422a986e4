#include "boragehollow/balancing/service_balancer.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::balancing {

namespace {

using config::work_class;

constexpr milliseconds max_median_age{100};
// Latency ejection requires several samples and an excess that a caller would notice.
constexpr int min_ejection_samples = 5;
constexpr milliseconds min_latency_excess{2};
constexpr fractional_microseconds min_latency{1};
constexpr std::size_t min_median_targets = 3;
constexpr double hedge_quantile = 0.95;
/// Wait that a call saves at least when it leaves its failure domain: the way takes a round trip of some
/// milliseconds, and the bytes between domains have a price.
constexpr microseconds hop_cost{10'000};

} // namespace

service_balancer::service_balancer(std::string failure_domain, milliseconds key_window,
                                   milliseconds version_hold)
    : m_failure_domain(std::move(failure_domain)), m_placement(key_window), m_versions(version_hold) {}

void service_balancer::set_policy(const config::service_policy& policy,
                                  const std::vector<config::target_rule>& rules, steady_time now) {
    m_policy = policy;
    m_rules = rules;
    std::sort(m_rules.begin(), m_rules.end(),
              [](const auto& left, const auto& right) { return left.name < right.name; });
    m_retries.set_policy(policy.retry.budget_ratio, policy.retry.min_per_second);
    m_hedges.set_policy(policy.hedging.budget_ratio, 0);
    apply_rules(now);
}

void service_balancer::set_targets(const std::vector<target_view>& targets, steady_time now) {
    std::vector<target_record> records;
    records.reserve(targets.size());
    std::unordered_map<std::string, target_index> index;
    for (const target_view& view : targets) {
        const auto known = m_index.find(view.host);
        target_record record;
        if (known != m_index.end()) {
            record = std::move(m_targets[known->second]);
            record.update(view);
        } else {
            record.view = view;
        }
        record.local = view.failure_domain == m_failure_domain;
        index.emplace(view.host, static_cast<target_index>(records.size()));
        records.push_back(std::move(record));
    }
    m_targets = std::move(records);
    m_versions.set_targets(targets);
    m_index = std::move(index);
    apply_rules(now);
}

bool service_balancer::matches_rules(const target_view& view) const {
    const auto matches = [&view](const config::target_rule& rule) {
        return std::all_of(rule.labels.begin(), rule.labels.end(), [&view](const auto& label) {
            const auto found = view.labels.find(label.first);
            return found != view.labels.end() && found->second == label.second;
        });
    };
    return m_rules.empty() || std::any_of(m_rules.begin(), m_rules.end(), matches);
}

const config::target_rule& service_balancer::first_rule() const {
    static const config::target_rule defaults;
    return m_rules.empty() ? defaults : m_rules.front();
}

void service_balancer::apply_rules(steady_time now) {
    std::vector<keyed_placement::candidate> candidates;
    candidates.reserve(m_targets.size());
    for (target_record& target : m_targets) {
        target.matched = matches_rules(target.view);
        candidates.push_back(
            {target.view.host, target.view.first_seen, target.view.lost_since, target.matched});
    }
    m_placement.update(candidates, now);
}

tl::expected<service_balancer::selection, selection_error_reason>
service_balancer::choose(const attempt_request& request, common::random_source& random, steady_time now) {
    if (request.deadline <= now) {
        return tl::unexpected(selection_error_reason::deadline_passed);
    }
    if (request.kind == attempt_kind::first) {
        ++m_counters.calls;
        m_retries.add_call(now);
        m_hedges.add_call(now);
    }
    // The target is chosen first, so that an attempt without a target does not consume budget.
    bool trial = false;
    const auto index = choose_target(request, random, now, trial);
    if (!index) {
        return tl::unexpected(index.error());
    }
    const auto backoff = acquire_attempt(request, random, now);
    if (!backoff) {
        return tl::unexpected(backoff.error());
    }
    target_record& target = m_targets[*index];
    if (trial) {
        target.health.begin_trial();
    }
    ++target.outstanding;
    ++target.sent_since_report;
    return selection{target.view.host, target.view.peer, *backoff, compute_hedge_delay(request), trial};
}

tl::expected<microseconds, selection_error_reason>
service_balancer::acquire_attempt(const attempt_request& request, common::random_source& random,
                                  steady_time now) {
    if (request.kind == attempt_kind::first || request.kind == attempt_kind::redirect) {
        return microseconds(0);
    }
    if (!request.idempotent && !(request.kind == attempt_kind::retry && request.prior_attempts_not_run)) {
        return tl::unexpected(selection_error_reason::not_repeatable);
    }
    if (request.tried_hosts.size() >= m_policy.retry.max_attempts) {
        return tl::unexpected(selection_error_reason::attempts_exhausted);
    }
    if (request.kind == attempt_kind::hedge) {
        if (!m_policy.hedging.enabled || !m_hedges.try_take(now)) {
            ++m_counters.hedges_refused;
            return tl::unexpected(selection_error_reason::hedge_budget);
        }
        ++m_counters.hedges;
        return microseconds(0);
    }
    const microseconds backoff = compute_backoff(request.tried_hosts.size(), random);
    if (now + backoff >= request.deadline) {
        return tl::unexpected(selection_error_reason::deadline_passed);
    }
    if (!m_retries.try_take(now)) {
        ++m_counters.retries_refused;
        return tl::unexpected(selection_error_reason::retry_budget);
    }
    ++m_counters.retries;
    return backoff;
}

microseconds service_balancer::compute_backoff(std::size_t attempts, common::random_source& random) const {
    const std::size_t doublings = std::min<std::size_t>(attempts > 0 ? attempts - 1 : 0, 16);
    const microseconds full =
        std::min<microseconds>(m_policy.retry.max_backoff, m_policy.retry.base_backoff * (1U << doublings));
    // Jitter between half and the full backoff, so that calls that failed together are not retried together.
    return full / 2 + random.jitter(full / 2);
}

std::optional<microseconds> service_balancer::compute_hedge_delay(const attempt_request& request) const {
    const bool hedgeable = m_policy.hedging.enabled && request.kind == attempt_kind::first &&
                           request.idempotent && request.work == work_class::short_work &&
                           !request.idempotency_key;
    const microseconds usual = m_quantiles.quantile(hedge_quantile);
    if (!hedgeable || usual == microseconds(0)) {
        return std::nullopt;
    }
    return std::max<microseconds>(usual, m_policy.hedging.min_delay);
}

tl::expected<service_balancer::target_index, selection_error_reason>
service_balancer::choose_target(const attempt_request& request, common::random_source& random,
                                steady_time now, bool& trial) {
    if (request.idempotency_key) {
        return choose_keyed(*request.idempotency_key, now);
    }
    bool panic = false;
    m_versions.choose_version(request.kind == attempt_kind::first, random);
    collect_healthy(now, panic);
    if (m_usable == 0 && (m_versions.choose_other_version() || m_versions.ignore_hold())) {
        collect_healthy(now, panic);
    }
    if (m_usable == 0) {
        return tl::unexpected(selection_error_reason::no_target);
    }
    if (panic) {
        ++m_counters.panic_choices;
    } else if (const auto due = due_trial(request, now)) {
        trial = true;
        return *due;
    }
    if (!exclude_tried_hosts(request)) {
        return tl::unexpected(selection_error_reason::no_target);
    }
    const target_index chosen = pick_by_policy(random, now);
    trial = m_targets[chosen].health.ejected();
    return chosen;
}

tl::expected<service_balancer::target_index, selection_error_reason>
service_balancer::choose_keyed(const std::string& key, steady_time now) {
    const auto host = m_placement.place(key, now);
    if (!host) {
        return tl::unexpected(host.error());
    }
    const auto found = m_index.find(*host);
    if (found == m_index.end()) {
        return tl::unexpected(selection_error_reason::placement_lost);
    }
    return found->second;
}

void service_balancer::collect_healthy(steady_time now, bool& panic) {
    m_pool.clear();
    m_usable = 0;
    for (target_index i = 0; i < m_targets.size(); ++i) {
        const target_record& target = m_targets[i];
        if (!target.usable() || !m_versions.permits(target.view, now)) {
            continue;
        }
        ++m_usable;
        if (!target.health.ejected()) {
            m_pool.push_back(i);
        }
    }
    m_ejected = m_usable - static_cast<std::uint32_t>(m_pool.size());
    const auto healthy = static_cast<double>(m_pool.size());
    panic = m_pool.empty() || healthy < m_policy.ejection.panic_healthy_fraction * m_usable;
    if (!panic || m_ejected == 0) {
        return;
    }
    m_pool.clear();
    for (target_index i = 0; i < m_targets.size(); ++i) {
        if (m_targets[i].usable() && m_versions.permits(m_targets[i].view, now)) {
            m_pool.push_back(i);
        }
    }
}

std::optional<service_balancer::target_index> service_balancer::due_trial(const attempt_request& request,
                                                                          steady_time now) const {
    if (m_ejected == 0 || request.kind != attempt_kind::first) {
        return std::nullopt;
    }
    for (target_index i = 0; i < m_targets.size(); ++i) {
        const target_record& target = m_targets[i];
        const bool permitted = target.usable() && m_versions.permits(target.view, now);
        if (permitted && target.health.trial_due(request.idempotent, m_policy.ejection, now)) {
            return i;
        }
    }
    return std::nullopt;
}

bool service_balancer::exclude_tried_hosts(const attempt_request& request) {
    if (request.tried_hosts.empty()) {
        return true;
    }
    const auto tried = [this, &request](target_index i) {
        const auto& hosts = request.tried_hosts;
        return std::find(hosts.begin(), hosts.end(), m_targets[i].view.host) != hosts.end();
    };
    const auto end = std::partition(m_pool.begin(), m_pool.end(), [&](target_index i) { return !tried(i); });
    if (end != m_pool.begin()) {
        m_pool.erase(end, m_pool.end());
        return true;
    }
    // All targets were tried. A retry may reuse one, but a hedge on the same target is useless, and a daemon
    // that has just refused the call would refuse it again.
    return request.kind != attempt_kind::hedge && request.kind != attempt_kind::redirect;
}

std::span<const service_balancer::target_index> service_balancer::prefer_local(common::random_source& random,
                                                                               steady_time now) {
    const config::target_rule& rule = first_rule();
    if (rule.preference == config::domain_preference::any) {
        return m_pool;
    }
    m_local.clear();
    double used = 0;
    double slots = 0;
    for (const target_index i : m_pool) {
        const target_record& target = m_targets[i];
        if (!target.local) {
            continue;
        }
        m_local.push_back(i);
        used += target.estimated_slots_in_use(now);
        slots += std::max(1U, target.view.slots);
    }
    if (m_local.empty() || m_local.size() == m_pool.size()) {
        return m_pool;
    }
    const double use = used / slots;
    if (use <= rule.spill_over) {
        return m_local;
    }
    // The share of remote calls grows with the excess, so that load does not oscillate between domains.
    const double margin = std::max(0.05, 1.0 - rule.spill_over);
    const double share = std::min(1.0, (use - rule.spill_over) / margin);
    if (random.fraction() < share) {
        return m_pool;
    }
    return m_local;
}

template <class Cost>
service_balancer::target_index service_balancer::pick_of_two_choices(std::span<const target_index> pool,
                                                                     common::random_source& random,
                                                                     Cost cost) {
    if (pool.size() == 1) {
        return pool.front();
    }
    const std::size_t first = random.index(pool.size());
    std::size_t second = random.index(pool.size() - 1);
    second += second >= first ? 1 : 0;
    return cost(m_targets[pool[second]]) < cost(m_targets[pool[first]]) ? pool[second] : pool[first];
}

service_balancer::target_index service_balancer::pick_by_policy(common::random_source& random,
                                                                steady_time now) {
    // A load-aware choice itself weighs the load of the failure domains.
    const bool by_load = std::holds_alternative<config::load_aware>(m_policy.balancing);
    const std::span<const target_index> pool = by_load ? m_pool : prefer_local(random, now);
    const auto random_target = [&](const config::random_choice&) { return pool[random.index(pool.size())]; };
    const auto next_round_robin = [&](const config::round_robin&) {
        return pool[m_round_robin_next++ % pool.size()];
    };
    const auto least_loaded_of_two = [&](const config::least_loaded&) {
        return pick_of_two_choices(pool, random, [now](const target_record& target) {
            const double per_slot = (target.outstanding + 1.0) / std::max(1U, target.view.slots);
            return per_slot * target.cost_factor(now);
        });
    };
    const auto peak_ewma_of_two = [&](const config::peak_ewma& policy) {
        const fractional_microseconds typical = std::max(min_latency, m_median);
        return pick_of_two_choices(pool, random, [&policy, typical, now](const target_record& target) {
            const fractional_microseconds latency = target.peak.value(typical, policy.decay, now);
            return latency.count() * (target.outstanding + 1.0) * target.cost_factor(now);
        });
    };
    const auto least_expected_load = [&](const config::load_aware& policy) {
        const bool prefers_local = first_rule().preference == config::domain_preference::local_first;
        return m_by_load.choose(pool, m_targets, policy, prefers_local ? hop_cost : microseconds(0), random,
                                now);
    };
    return std::visit(common::overloaded{random_target, next_round_robin, least_loaded_of_two,
                                         peak_ewma_of_two, least_expected_load},
                      m_policy.balancing);
}

milliseconds service_balancer::decay() const {
    const auto* policy = std::get_if<config::peak_ewma>(&m_policy.balancing);
    return policy != nullptr ? policy->decay : config::peak_ewma{}.decay;
}

bool service_balancer::may_eject() const {
    std::uint32_t usable = 0;
    std::uint32_t ejected = 0;
    for (const target_record& target : m_targets) {
        usable += target.usable() ? 1 : 0;
        ejected += target.usable() && target.health.ejected() ? 1 : 0;
    }
    return ejected + 1.0 <= m_policy.ejection.max_fraction * usable;
}

fractional_microseconds service_balancer::median_latency(steady_time now) {
    if (m_median_time && now - *m_median_time < max_median_age) {
        return m_median;
    }
    m_median_time = now;
    std::vector<fractional_microseconds> values;
    for (const target_record& target : m_targets) {
        if (target.smoothed.samples() > 0) {
            values.push_back(target.smoothed.value());
        }
    }
    if (values.empty()) {
        return m_median;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    m_median = *middle;
    return m_median;
}

void service_balancer::record_result(const std::string& host, work_class work, bool trial,
                                     const attempt_result& result, steady_time now) {
    const auto found = m_index.find(host);
    if (found == m_index.end()) {
        return;
    }
    target_record& target = m_targets[found->second];
    target.outstanding -= target.outstanding > 0 ? 1 : 0;
    if (result.load) {
        target.record_load(*result.load, now);
        m_by_load.record(*result.load, now);
    }
    switch (result.outcome) {
    case attempt_outcome::answered:
        record_response(target, work, trial, result.latency, now);
        return;
    case attempt_outcome::refused:
        target.record_refusal(now);
        target.health.record_inconclusive(trial);
        return;
    case attempt_outcome::rejected:
        target.health.record_inconclusive(trial);
        return;
    case attempt_outcome::failed:
        if (work == work_class::short_work) {
            target.peak.raise(result.latency, decay(), now);
        }
        count_ejection(target.health.record_failure(trial, may_eject(), m_policy.ejection, now));
        return;
    case attempt_outcome::cancelled:
        // The response would have taken at least this long.
        if (work == work_class::short_work) {
            target.peak.raise(result.latency, decay(), now);
        }
        target.health.record_inconclusive(trial);
        return;
    }
}

void service_balancer::record_response(target_record& target, work_class work, bool trial,
                                       microseconds latency, steady_time now) {
    bool too_slow = false;
    if (work == work_class::short_work) {
        target.peak.add(latency, decay(), now);
        target.smoothed.add(latency);
        m_quantiles.add(latency);
        const fractional_microseconds median = median_latency(now);
        const double factor = m_policy.ejection.latency_factor;
        const fractional_microseconds own =
            trial ? fractional_microseconds(latency) : target.smoothed.value();
        const bool enough = trial || target.smoothed.samples() >= min_ejection_samples;
        too_slow = factor > 0 && enough && m_targets.size() >= min_median_targets && median.count() > 0 &&
                   own > factor * median && own - median > min_latency_excess;
    }
    const bool was_ejected = target.health.ejected();
    const bool allowed = too_slow && may_eject();
    count_ejection(target.health.record_success(trial, too_slow, allowed, m_policy.ejection, now));
    if (was_ejected && !target.health.ejected()) {
        target.smoothed.reset();
    }
}

void service_balancer::count_ejection(bool ejected) {
    m_counters.ejections += ejected ? 1 : 0;
}

std::vector<target_status> service_balancer::status(steady_time now) const {
    std::vector<target_status> all;
    all.reserve(m_targets.size());
    for (const target_record& target : m_targets) {
        const fractional_microseconds latency = target.peak.value(m_median, decay(), now);
        all.push_back({target.view.host, target.outstanding,
                       std::chrono::duration_cast<microseconds>(latency), target.health.ejected()});
    }
    return all;
}

} // namespace boragehollow::balancing
