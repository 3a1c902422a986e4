#pragma once

#include "boragehollow/balancing/attempt.hpp"
#include "boragehollow/balancing/target_view.hpp"
#include "boragehollow/balancing/version_filter.hpp"
#include "boragehollow/common/random_source.hpp"
#include "boragehollow/config/resource.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace boragehollow::balancing {

struct balancer_settings {
    std::string failure_domain; ///< Failure domain of this daemon's callers.
    milliseconds key_window{120'000};
    /// Time for which a version that appears beside another one takes no calls; 0 for none.
    milliseconds version_hold{0};
    /// Maximum number of attempts in progress; bounds the table if results are lost.
    std::size_t max_outstanding = 65'536;
};

/// State of one target, for metrics and tests.
struct target_status {
    std::string host;
    std::uint32_t outstanding = 0;
    microseconds latency{0};
    bool ejected = false;
};

/// Counters of one service, for metrics.
struct service_counters {
    std::uint64_t calls = 0;
    std::uint64_t retries = 0;
    std::uint64_t retries_refused = 0;
    std::uint64_t hedges = 0;
    std::uint64_t hedges_refused = 0;
    std::uint64_t ejections = 0;
    std::uint64_t panic_choices = 0; ///< Choices among all targets because too few were healthy.
};

class service_balancer;

/// Chooses the target of every attempt. Owned by a single thread; reads no clock and starts no thread.
class balancer {
public:
    balancer(balancer_settings settings, common::random_source random);
    balancer(balancer&&) noexcept;
    balancer& operator=(balancer&&) noexcept;
    ~balancer();

    /// Adds the service or replaces its policy. `rules` are the target rules of the service. A target is
    /// eligible when it matches any of them, or when there are none.
    void update_policy(const config::service_policy& policy, const std::vector<config::target_rule>& rules,
                       steady_time now);

    /// Removes the policy. Results of attempts in progress are still accepted.
    void remove_policy(const std::string& service);

    /// Replaces the targets of a service. They may arrive before its policy.
    void update_targets(const std::string& service, const std::vector<target_view>& targets, steady_time now);

    /// Distributes the calls of a service over the versions of its targets; without a rule all take calls.
    void set_version_rule(const std::string& service, std::optional<version_rule> rule);
    bool has_version_rule(const std::string& service) const;

    tl::expected<attempt_target, selection_error> choose(const attempt_request& request, steady_time now);

    void record_result(const attempt_result& result, steady_time now);

    std::vector<std::string> services() const;
    std::vector<target_status> targets(const std::string& service, steady_time now) const;
    service_counters counters(const std::string& service) const;
    std::size_t outstanding() const { return m_attempts.size(); }

private:
    struct attempt_record {
        std::string service;
        std::string host;
        config::work_class work = config::work_class::short_work;
        bool trial = false;
    };

    struct service_state {
        bool has_policy = false; ///< Targets can exist before the policy is added and after it is removed.
        std::unique_ptr<service_balancer> balancing;
    };

    void prepare(const std::string& service, service_state& state);

    balancer_settings m_settings;
    common::random_source m_random;
    std::unordered_map<std::string, version_rule> m_version_rules; ///< By service.
    std::unordered_map<std::string, service_state> m_services;
    std::unordered_map<std::uint64_t, attempt_record> m_attempts;
    std::uint64_t m_next_attempt = 1;
};

} // namespace boragehollow::balancing
