#include "boragehollow/membership/member.hpp"

namespace boragehollow::membership {

namespace {

constexpr unsigned refutation_bits = 16;

} // namespace

std::uint64_t first_incarnation(common::wall_time start) {
    const auto since_epoch = std::chrono::duration_cast<std::chrono::milliseconds>(start.time_since_epoch());
    return static_cast<std::uint64_t>(since_epoch.count()) << refutation_bits;
}

common::wall_time process_start(std::uint64_t incarnation) {
    return common::wall_time(std::chrono::milliseconds(incarnation >> refutation_bits));
}

bool same_process(std::uint64_t left, std::uint64_t right) {
    return left >> refutation_bits == right >> refutation_bits;
}

} // namespace boragehollow::membership
