#pragma once

#include <chrono>

/// Clock types shared by all packages. Deciding code takes the current time as a parameter and never reads a
/// clock.
namespace boragehollow::common {

using steady_clock = std::chrono::steady_clock;
using steady_time = steady_clock::time_point;
using wall_clock = std::chrono::system_clock;
using wall_time = std::chrono::time_point<wall_clock, std::chrono::microseconds>;

/// Averages and estimates of durations, with sub-microsecond resolution.
using fractional_microseconds = std::chrono::duration<double, std::micro>;

/// Current wall-clock time, at the resolution used in messages.
inline wall_time wall_now() {
    return std::chrono::time_point_cast<std::chrono::microseconds>(wall_clock::now());
}

} // namespace boragehollow::common
