#pragma once

#include "boragehollow/common/revision.hpp"
#include "boragehollow/membership/member.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace boragehollow::membership {

struct ping {
    std::uint64_t sequence = 0;
    common::revision applied;

    bool operator==(const ping&) const = default;
};

struct ack {
    std::uint64_t sequence = 0;
    common::revision applied;
    std::string probed_host; ///< Set when the ack reports the result of an indirect probe.

    bool operator==(const ack&) const = default;
};

/// Requests that the receiver pings `probe_host` on behalf of the sender.
struct indirect_ping {
    std::uint64_t sequence = 0;
    common::revision applied;
    std::string probe_host;

    bool operator==(const indirect_ping&) const = default;
};

/// Hosts that have applied a version, as `common::stable_hash` of their names.
struct collected_progress {
    common::revision applied;
    std::vector<std::uint64_t> host_hashes;

    bool operator==(const collected_progress&) const = default;
};

/// A read of the platform's log that found no version newer than the sender's.
struct log_read {
    std::string reader;         ///< Empty when the sender of the datagram is the reader.
    std::uint64_t process = 0;  ///< Random number of the reader's process.
    std::uint64_t sequence = 0; ///< Increases with each read of the process.
    std::chrono::milliseconds age{0};

    bool operator==(const log_read&) const = default;
};

/// Reports the applied version and is not acknowledged. Also carries urgent member entries that must not wait
/// for the next ping of the protocol period.
struct progress_report {
    common::revision applied;
    std::vector<collected_progress> collected{}; ///< Only from a progress collector to a log reader.

    bool operator==(const progress_report&) const = default;
};

using datagram_body = std::variant<ping, ack, indirect_ping, progress_report>;

struct datagram {
    std::string from_host;
    datagram_body body;
    std::vector<member> members;
    std::uint64_t log_epoch = 0; ///< Latest epoch of the platform log that the sender knows; 0 = none.
    std::optional<log_read> latest_read{};

    bool operator==(const datagram&) const = default;
};

/// Version that the sender has applied.
common::revision applied_version(const datagram_body& body);

/// Maximum UDP payload: fits into one Ethernet frame and leaves room for tunnel headers.
inline constexpr std::size_t max_datagram_bytes = 1200;

/// A daemon refuses an announcement that makes its entry larger than this, so that each entry fits into any
/// datagram.
inline constexpr std::size_t max_member_bytes = 800;

/// Upper bound of the encoded size of one entry, with its field header.
std::size_t estimated_size(const member& value);

/// Upper bound of the encoded size, for a mesh name of at most 64 bytes.
std::size_t estimated_size(const datagram& value);

} // namespace boragehollow::membership
