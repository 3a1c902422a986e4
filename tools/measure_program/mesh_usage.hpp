#pragma once

#include "boragehollow/common/time.hpp"
#include "tcp_usage.hpp"
#include "test_mesh.hpp"

#include <cstdint>

namespace boragehollow::measure {

/// Counters of a whole mesh at one moment.
struct mesh_usage {
    common::steady_time at{};
    double processor_seconds = 0;
    double resident_megabytes = 0; ///< Mean of the daemons.
    double gossip_bytes = 0;       ///< Sent and received, of all daemons.
    double datagrams = 0;
    double peer_bytes = 0; ///< Encoded control requests and answers, sent and received.
    double peer_messages = 0;
    tcp_table peer_connections; ///< Listening ends only.
    double platform_reads = 0;
    double platform_bytes = 0; ///< Payload of reads.
};

/// Use of one daemon in the mean, for each second.
struct usage_rates {
    double processor_percent = 0; ///< Of one core.
    double resident_megabytes = 0;
    double message_bytes = 0; ///< Datagrams and encoded messages, sent and received, without framing.
    double wire_bytes = 0;    ///< With the framing of HTTP/2 and the headers of TCP, UDP and IP.
    double platform_reads = 0;
    double platform_bytes = 0;
};

result<mesh_usage> read_usage(const test_mesh& mesh);
usage_rates rates_between(const mesh_usage& first, const mesh_usage& last, std::size_t daemons);

} // namespace boragehollow::measure
