#pragma once

#include "boragehollow/common/time.hpp"
#include "tcp_usage.hpp"
#include "test_mesh.hpp"

#include <cstdint>

namespace boragehollow::measure {

/// Resource counters of a whole mesh at one point in time.
struct mesh_usage {
    common::steady_time at{};
    double processor_seconds = 0;
    double resident_megabytes = 0; ///< Mean per daemon.
    double gossip_bytes = 0;       ///< Sent and received, summed over all daemons.
    double datagrams = 0;
    double peer_bytes = 0; ///< Encoded control requests and replies, sent and received.
    double peer_messages = 0;
    tcp_table peer_connections; ///< Only the listening end of each connection.
    double platform_reads = 0;
    double platform_bytes = 0; ///< Payload of the reads.
};

/// Resource usage per second: means per daemon, except for the platform log, which is counted per mesh.
struct usage_rates {
    double processor_percent = 0; ///< Of one core.
    double resident_megabytes = 0;
    double message_bytes = 0; ///< Datagrams and encoded messages, both directions, without protocol overhead.
    double wire_bytes = 0;    ///< Including HTTP/2 framing and the TCP, UDP and IP headers.
    double platform_reads = 0;
    double platform_bytes = 0;
};

result<mesh_usage> read_usage(const test_mesh& mesh);
usage_rates rates_between(const mesh_usage& first, const mesh_usage& last, std::size_t daemons);

} // namespace boragehollow::measure
