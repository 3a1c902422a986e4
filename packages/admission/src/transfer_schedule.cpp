#include "boragehollow/admission/transfer_schedule.hpp"

#include <algorithm>

namespace boragehollow::admission {

namespace {

using std::chrono::milliseconds;

constexpr double bytes_per_megabit = 1'000'000.0 / 8.0;

/// Share of the link that large bodies get. The rest is for small messages, and for the bodies of this host's
/// own callers, which arrive without a reservation.
constexpr double booked_share = 0.75;

/// A body that would have to wait for longer is refused: its callers expect an answer within about a second,
/// and another target may have room.
constexpr milliseconds longest_wait{600};

} // namespace

transfer_schedule::transfer_schedule(double megabits)
    : m_bytes_per_second(megabits * bytes_per_megabit * booked_share) {}

tl::expected<transfer_window, milliseconds> transfer_schedule::reserve(std::size_t bytes,
                                                                       common::steady_time now) {
    const common::steady_time begin = std::max(now, m_booked_until);
    const auto wait = std::chrono::ceil<milliseconds>(begin - now);
    if (wait > longest_wait) {
        return tl::unexpected(wait);
    }
    const std::chrono::duration<double> taken(static_cast<double>(bytes) / m_bytes_per_second);
    m_booked_until = begin + std::chrono::duration_cast<common::steady_clock::duration>(taken);
    return transfer_window{wait, std::chrono::ceil<milliseconds>(taken)};
}

} // namespace boragehollow::admission
