#pragma once

#include "boragehollow/admission/messages.hpp"

#include <compare>
#include <map>

namespace boragehollow::admission {

/// Calls that are expected to take a similar time at a target.
struct call_kind {
    call_rank rank;
    bool idempotent = false;

    auto operator<=>(const call_kind&) const = default;
};

call_kind kind_of(const admission_request& request);

/// Mean times for which calls hold a slot of a target. The calls that other targets make are often much
/// shorter than those from outside, so each kind has its own mean: whether a call ends in time depends on its
/// own kind, and how fast slots become free depends on all calls.
class service_times {
public:
    void add(const call_kind& kind, config::work_class work, microseconds sample);

    /// Mean of all calls of the class; 0 until one has ended.
    microseconds mean(config::work_class work) const;

    /// Mean of the calls of the request's kind, or of its class until the kind is known.
    microseconds mean_of_kind(const admission_request& request) const;

    void reset() { *this = {}; }

private:
    static constexpr std::size_t max_kinds = 16;

    common::fractional_microseconds m_short_mean{0};
    common::fractional_microseconds m_long_mean{0};
    std::map<call_kind, common::fractional_microseconds> m_kinds; ///< Short calls only.
};

} // namespace boragehollow::admission
