#pragma once

#include "boragehollow/common/random_source.hpp"
#include "messages.hpp"
#include "options.hpp"

#include <cstddef>
#include <optional>

namespace boragehollow::load {

/// Generates random requests: exponentially distributed gaps at the current rate, and kinds by their shares.
class arrival_plan {
public:
    arrival_plan(const load_options& options, steady_time start);

    /// Returns the next request, or nothing once the duration or the maximum number of requests is reached.
    std::optional<planned_request> next();

private:
    double rate_at(std::chrono::duration<double> offset) const;
    std::chrono::duration<double> end_of_step(std::chrono::duration<double> offset) const;
    request_kind draw_kind();
    std::string draw_caller();

    load_options m_options;
    steady_time m_start;
    common::random_source m_random;
    std::chrono::duration<double> m_offset{0};
    std::uint64_t m_count = 0;
};

} // namespace boragehollow::load
