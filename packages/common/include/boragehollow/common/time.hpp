#pragma once

#include <chrono>

/// Clock types that every layer shares. Decisions take the current time as a parameter and never read a
/// clock.
namespace boragehollow::common {

using steady_clock = std::chrono::steady_clock;
using steady_time = steady_clock::time_point;
using wall_clock = std::chrono::system_clock;
using wall_time = std::chrono::time_point<wall_clock, std::chrono::microseconds>;

/// Averages and estimates of durations, which fall between two microseconds.
using fractional_microseconds = std::chrono::duration<double, std::micro>;

/// The wall clock at the resolution that messages carry.
inline wall_time wall_now() {
    return std::chrono::time_point_cast<std::chrono::microseconds>(wall_clock::now());
}

} // namespace boragehollow::common
