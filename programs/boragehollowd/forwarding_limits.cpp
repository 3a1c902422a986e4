#include "forwarding_limits.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <limits>

namespace boragehollow::daemon {

namespace {

constexpr std::size_t mib = 1024 * 1024;

} // namespace

std::size_t process_descriptor_limit() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return std::numeric_limits<int>::max();
    }
    return limit.rlim_cur;
}

resources::memory_budget_settings memory_budget_of(const settings::limit_settings& limits) {
    resources::memory_budget_settings budget;
    if (limits.memory_mb == 0) {
        return budget;
    }
    const std::size_t taken = limits.memory_base_mb + limits.small_body_reserve_mb;
    // A host with less memory than that still serves small messages.
    budget.bytes =
        limits.memory_mb > taken ? (limits.memory_mb - taken) * mib : resources::max_small_message_bytes;
    budget.small_reserve_bytes = limits.small_body_reserve_mb * mib;
    budget.min_bytes_per_second = limits.min_transfer_bytes_per_s;
    return budget;
}

forwarding::connection_settings connection_settings_of(const settings::limit_settings& limits,
                                                       std::size_t process_descriptors) {
    const std::size_t descriptors = limits.max_descriptors == 0
                                        ? process_descriptors
                                        : std::min(limits.max_descriptors, process_descriptors);
    const std::size_t available = resources::acceptable_connections(descriptors, limits.reserved_descriptors);
    // A quarter stays for other daemons, and a quarter of the callers' part for other addresses.
    forwarding::connection_settings connections;
    connections.max_callers =
        std::max<std::size_t>(1, std::min(limits.caller_connections, available * 3 / 4));
    connections.max_callers_per_address =
        std::max<std::size_t>(1, std::min(limits.connections_per_address, connections.max_callers * 3 / 4));
    connections.max_peers = std::max<std::size_t>(1, available - connections.max_callers);
    return connections;
}

} // namespace boragehollow::daemon
