#pragma once

#include "boragehollow/common/sliding_window.hpp"
#include "boragehollow/common/time.hpp"

#include <chrono>
#include <cstddef>

namespace boragehollow::admission {

using common::steady_time;

/// Ratios of repeated to first arrivals at a target. Without limits by default: a caller's daemon has its own
/// retry budget.
struct repeat_ratios {
    double max_retries = 1.0; ///< Retries by the daemons of the callers.
    /// Retries, and first arrivals of calls that a repeated call makes.
    double max_repeated_work = 1.0;
};

/// Limits the repeated work that reaches one target, in a sliding window. The sum over all targets of a
/// service then stays within the same ratio of the service's calls, however many daemons send them and
/// whichever of them are unreachable or have just restarted. A limit at each sender would need whole retries
/// per sender, and a sender cannot know the repeated work of the others.
///
/// A call that is made by a repeated call is repeated work as well, but nobody can tell it from a first one.
/// Its sender states the share of its target's running calls that are repeated: the probability that one of
/// these made the call.
class repeat_limit {
public:
    static constexpr std::chrono::seconds window{10};

    explicit repeat_limit(repeat_ratios ratios) : m_ratios(ratios) {}

    /// True when the target may get another retry.
    bool allows_retry(steady_time now);

    /// Records a call that is sent to the target for the first time. `inherited` is the probability that a
    /// repeated call made it.
    void record_first(double inherited, steady_time now);
    void record_retry(steady_time now);

private:
    struct totals {
        double first = 0;
        double inherited = 0;
        double retries = 0;

        totals& operator+=(const totals& other) {
            first += other.first;
            inherited += other.inherited;
            retries += other.retries;
            return *this;
        }
    };

    static constexpr std::size_t slice_count = 10;

    repeat_ratios m_ratios;
    common::sliding_window<totals, slice_count> m_window{window};
};

} // namespace boragehollow::admission
