#include "boragehollow/admission/transfer_schedule.hpp"

#include <algorithm>

namespace boragehollow::admission {

namespace {

using std::chrono::milliseconds;

constexpr double bytes_per_megabit = 1'000'000.0 / 8.0;

} // namespace

transfer_schedule::transfer_schedule(double megabits, transfer_limits limits)
    : m_limits(limits), m_bytes_per_second(megabits * bytes_per_megabit * limits.share) {}

tl::expected<transfer_window, milliseconds> transfer_schedule::reserve(std::size_t bytes,
                                                                       common::steady_time now) {
    if (const auto wait = excessive_wait(now)) {
        return tl::unexpected(*wait);
    }
    return append(bytes, now);
}

transfer_window transfer_schedule::append(std::size_t bytes, common::steady_time now) {
    const common::steady_time begin = std::max(now, m_reserved_until);
    const std::chrono::duration<double> transfer_time(static_cast<double>(bytes) / m_bytes_per_second);
    m_reserved_until = begin + std::chrono::duration_cast<common::steady_clock::duration>(transfer_time);
    m_recent.current(now).value += transfer_time;
    return transfer_window{std::chrono::ceil<milliseconds>(begin - now),
                           std::chrono::ceil<milliseconds>(transfer_time)};
}

std::optional<milliseconds> transfer_schedule::excessive_wait(common::steady_time now) const {
    const auto wait = std::chrono::ceil<milliseconds>(std::max(now, m_reserved_until) - now);
    return wait > m_limits.max_wait ? std::optional(wait) : std::nullopt;
}

double transfer_schedule::utilization(common::steady_time now) {
    const double recent = m_recent.total(now).value / utilization_window;
    const std::chrono::duration<double> backlog = std::max(now, m_reserved_until) - now;
    return std::min(1.0, std::max(recent, backlog / m_limits.max_wait));
}

} // namespace boragehollow::admission
