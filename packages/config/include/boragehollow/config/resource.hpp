#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

/// Resources that operators create, with their default values.
namespace boragehollow::config {

using std::chrono::milliseconds;

/// Class of work of the calls of a route. Long calls have their own share of the slots of a target.
enum class work_class { short_work, long_work };

/// A service that receives a share of the calls of a route.
struct weighted_backend {
    std::string service{};
    std::uint32_t weight = 1;

    bool operator==(const weighted_backend&) const = default;
};

/// Routes the calls that match host, path prefix and method to a service.
struct route {
    std::string name{};
    std::string host{};                 ///< Host header without port; empty matches every host.
    std::string path_prefix = "/";      ///< Matches whole path segments.
    std::vector<std::string> methods{}; ///< Empty matches every method.
    std::string service{};
    milliseconds deadline{10'000};
    bool idempotent = false;
    work_class work = work_class::short_work;
    /// Splits the calls by weight; when empty, all of them are sent to `service`.
    std::vector<weighted_backend> backends{};
    std::uint32_t attempts = 0;     ///< Maximum number of targets for one call; 0 uses the retry policy.
    milliseconds target_latency{0}; ///< Responses within it have the highest value; 0 for none.
    std::uint32_t priority = 0;     ///< Priority among the calls of a target; 0 is the most urgent.
    bool only_below_prefix = false; ///< A path equal to the prefix does not match.
    bool is_public = false;         ///< Calls need no key of a client account.

    bool operator==(const route&) const = default;
};

struct random_choice {
    bool operator==(const random_choice&) const = default;
};

struct round_robin {
    bool operator==(const round_robin&) const = default;
};

/// Picks the one of two random targets with fewer outstanding calls.
struct least_loaded {
    bool operator==(const least_loaded&) const = default;
};

/// Picks the one of two random targets with the lower product of estimated latency and outstanding calls.
struct peak_ewma {
    milliseconds decay{5'000};

    bool operator==(const peak_ewma&) const = default;
};

using balancing_policy = std::variant<peak_ewma, least_loaded, round_robin, random_choice>;

struct retry_policy {
    std::uint32_t max_attempts = 3;
    double budget_ratio = 0.2; ///< Retries allowed per call, in addition to `min_per_second`.
    std::uint32_t min_per_second = 3;
    milliseconds base_backoff{5};
    milliseconds max_backoff{250};

    bool operator==(const retry_policy&) const = default;
};

struct hedging_policy {
    bool enabled = false;
    milliseconds min_delay{10}; ///< Minimum delay; otherwise it is the 95th percentile of the latency.
    double budget_ratio = 0.05;

    bool operator==(const hedging_policy&) const = default;
};

/// Callers are served in turn.
struct fair_queueing {
    bool operator==(const fair_queueing&) const = default;
};

/// Calls are served in the order of arrival.
struct fifo_queueing {
    bool operator==(const fifo_queueing&) const = default;
};

/// Calls are served by the priority of their routes, and within a priority those first that can still meet
/// their target latency.
struct priority_queueing {
    bool operator==(const priority_queueing&) const = default;
};

using queue_order = std::variant<fair_queueing, fifo_queueing, priority_queueing>;

struct admission_policy {
    std::uint32_t queue_length = 64;
    milliseconds queue_max_wait{1'000};
    std::uint32_t reserved_short_slots = 2;
    milliseconds long_threshold{1'000}; ///< A short call that runs for longer is reclassified as long work.
    bool adaptive_limit = true;
    queue_order order = fair_queueing{};

    bool operator==(const admission_policy&) const = default;
};

struct ejection_policy {
    std::uint32_t consecutive_failures = 5;
    /// Ejects a target whose latency exceeds the median by this factor; 0 disables this.
    double latency_factor = 4.0;
    milliseconds base_time{1'000};
    milliseconds max_time{30'000};
    double max_fraction = 0.4;
    double panic_healthy_fraction = 0.3;

    bool operator==(const ejection_policy&) const = default;
};

/// Declares a service and how calls to it are balanced, retried and admitted.
struct service_policy {
    std::string name{};
    balancing_policy balancing = peak_ewma{};
    retry_policy retry{};
    hedging_policy hedging{};
    admission_policy admission{};
    ejection_policy ejection{};

    bool operator==(const service_policy&) const = default;
};

enum class domain_preference { local_first, any };

/// Selects the targets of a service and determines when calls are sent to other failure domains.
struct target_rule {
    std::string name{};
    std::string service{};
    std::map<std::string, std::string> labels{}; ///< Labels that a target must have.
    domain_preference preference = domain_preference::local_first;
    /// Estimated utilization of the local targets above which others are chosen too.
    double spill_over = 0.8;

    bool operator==(const target_rule&) const = default;
};

/// The alternatives are in the order of `resource_kind`.
using resource = std::variant<route, service_policy, target_rule>;

enum class resource_kind { route, service_policy, target_rule };

struct resource_key {
    resource_kind kind = resource_kind::route;
    std::string name{};

    auto operator<=>(const resource_key&) const = default;
};

inline resource_key key_of(const resource& value) {
    return {static_cast<resource_kind>(value.index()),
            std::visit([](const auto& concrete) { return concrete.name; }, value)};
}

} // namespace boragehollow::config
