#pragma once

#include "boragehollow/balancing/attempt_budget.hpp"
#include "boragehollow/balancing/balancer.hpp"
#include "boragehollow/balancing/keyed_placement.hpp"
#include "boragehollow/balancing/latency_estimate.hpp"
#include "boragehollow/balancing/load_aware_choice.hpp"
#include "boragehollow/balancing/target_record.hpp"

#include <span>

namespace boragehollow::balancing {

/// Balancing state of one service: policy, targets, budgets and latencies.
class service_balancer {
public:
    struct selection {
        std::string host;
        common::endpoint peer;
        microseconds backoff{0};
        std::optional<microseconds> hedge_delay;
        bool trial = false;
    };

    service_balancer(std::string failure_domain, milliseconds key_window, milliseconds version_hold);

    void set_policy(const config::service_policy& policy, const std::vector<config::target_rule>& rules,
                    steady_time now);
    void set_targets(const std::vector<target_view>& targets, steady_time now);

    tl::expected<selection, selection_error_reason> choose(const attempt_request& request,
                                                           common::random_source& random, steady_time now);

    void record_result(const std::string& host, config::work_class work, bool trial,
                       const attempt_result& result, steady_time now);

    void set_version_rule(std::optional<version_rule> rule) { m_versions.set_rule(std::move(rule)); }
    bool has_version_rule() const { return m_versions.has_rule(); }

    const service_counters& counters() const { return m_counters; }
    std::vector<target_status> status(steady_time now) const;

private:
    using target_index = std::uint32_t;

    bool matches_rules(const target_view& view) const;
    const config::target_rule& first_rule() const;
    void apply_rules(steady_time now);
    tl::expected<microseconds, selection_error_reason>
    acquire_attempt(const attempt_request& request, common::random_source& random, steady_time now);
    microseconds compute_backoff(std::size_t attempts, common::random_source& random) const;
    std::optional<microseconds> compute_hedge_delay(const attempt_request& request) const;
    tl::expected<target_index, selection_error_reason> choose_target(const attempt_request& request,
                                                                     common::random_source& random,
                                                                     steady_time now, bool& trial);
    tl::expected<target_index, selection_error_reason> choose_keyed(const std::string& key, steady_time now);
    std::optional<target_index> due_trial(const attempt_request& request, steady_time now) const;
    void collect_healthy(steady_time now, bool& panic);
    bool exclude_tried_hosts(const attempt_request& request);
    std::span<const target_index> prefer_local(common::random_source& random, steady_time now);
    target_index pick_by_policy(common::random_source& random, steady_time now);
    template <class Cost>
    target_index pick_of_two_choices(std::span<const target_index> pool, common::random_source& random,
                                     Cost cost);
    bool may_eject() const;
    void record_response(target_record& target, config::work_class work, bool trial, microseconds latency,
                         steady_time now);
    void count_ejection(bool ejected);
    fractional_microseconds median_latency(steady_time now);
    milliseconds decay() const;

    std::string m_failure_domain;
    config::service_policy m_policy;
    std::vector<config::target_rule> m_rules;
    std::vector<target_record> m_targets;
    std::unordered_map<std::string, target_index> m_index;
    keyed_placement m_placement;
    load_aware_choice m_by_load;
    version_filter m_versions;
    attempt_budget m_retries;
    attempt_budget m_hedges;
    latency_quantiles m_quantiles;
    fractional_microseconds m_median{0};
    std::optional<steady_time> m_median_time;
    std::size_t m_round_robin_next = 0;
    std::uint32_t m_usable = 0;
    std::uint32_t m_ejected = 0;
    std::vector<target_index> m_pool;  ///< Scratch buffer: candidates of the current choice.
    std::vector<target_index> m_local; ///< Scratch buffer: candidates in the callers' failure domain.
    service_counters m_counters;
};

} // namespace boragehollow::balancing
