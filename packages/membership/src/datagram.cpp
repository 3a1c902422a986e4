#include "boragehollow/membership/datagram.hpp"

namespace boragehollow::membership {

namespace {

// Field headers, varints of at most 10 bytes, and length prefixes of nested messages, rounded up.
constexpr std::size_t member_overhead = 50;
constexpr std::size_t endpoint_overhead = 8;
constexpr std::size_t group_overhead = 20;
constexpr std::size_t label_overhead = 8;
constexpr std::size_t withdrawn_overhead = 24;
constexpr std::size_t body_overhead = 32;
// Protocol number, hybrid timestamp, log epoch and a mesh name of 64 bytes.
constexpr std::size_t header_overhead = 107;
constexpr std::size_t log_read_overhead = 40;

std::size_t body_size(const datagram_body& body) {
    if (const auto* received_ack = std::get_if<ack>(&body)) {
        return body_overhead + received_ack->probed_host.size();
    }
    if (const auto* request = std::get_if<indirect_ping>(&body)) {
        return body_overhead + request->probe_host.size();
    }
    std::size_t size = body_overhead;
    if (const auto* report = std::get_if<progress_report>(&body)) {
        for (const collected_progress& group : report->collected) {
            size += group_overhead + sizeof(std::uint64_t) * group.host_hashes.size();
        }
    }
    return size;
}

} // namespace

common::revision applied_version(const datagram_body& body) {
    return std::visit([](const auto& concrete) { return concrete.applied; }, body);
}

std::size_t estimated_size(const member& value) {
    std::size_t size = member_overhead + value.host.size() + value.failure_domain.size();
    size += 2 * endpoint_overhead + value.gossip.address.size() + value.peer.address.size();
    size += value.target.service.size();
    for (const auto& [name, text] : value.target.labels) {
        size += label_overhead + name.size() + text.size();
    }
    for (const common::withdrawn_instance& each : value.withdrawn) {
        size += withdrawn_overhead + each.id.size();
    }
    return size;
}

std::size_t estimated_size(const datagram& value) {
    std::size_t size = header_overhead + value.from_host.size() + body_size(value.body);
    if (value.latest_read) {
        size += log_read_overhead + value.latest_read->reader.size();
    }
    for (const member& entry : value.members) {
        size += estimated_size(entry);
    }
    return size;
}

} // namespace boragehollow::membership
