#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace boragehollow::measure {

/// The kernel's counters for one end of a TCP connection.
struct tcp_count {
    std::uint64_t bytes = 0;    ///< Payload, both directions.
    std::uint64_t segments = 0; ///< Both directions, including pure acknowledgements.
};

/// Counters of the established TCP connections, by local and remote port.
using tcp_table = std::map<std::pair<std::uint16_t, std::uint16_t>, tcp_count>;

/// Reads the counters from the kernel over netlink (sock_diag).
tl::expected<tcp_table, std::string> read_tcp_table();

} // namespace boragehollow::measure
