#pragma once

#include "boragehollow/codec/decode_error.hpp"
#include "boragehollow/common/hybrid_clock.hpp"
#include "boragehollow/membership/datagram.hpp"
#include "boragehollow/membership/synchronization.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace boragehollow::peer::v1 {
class SyncRequest;
class SyncReply;
} // namespace boragehollow::peer::v1

namespace boragehollow::codec {

inline constexpr std::uint32_t datagram_protocol = 1;

/// The datagram belongs to a mesh other than the receiver's.
struct other_mesh {
    std::string mesh;

    bool operator==(const other_mesh&) const = default;
};

/// The datagram has a protocol number other than `datagram_protocol`.
struct unknown_protocol {
    std::uint32_t protocol = 0;

    bool operator==(const unknown_protocol&) const = default;
};

using datagram_error = std::variant<malformed, too_large, other_mesh, unknown_protocol>;

std::string to_string(const datagram_error& error);

struct decoded_datagram {
    membership::datagram value;
    common::hybrid_time sent; ///< Merged into the receiver's hybrid logical clock.

    bool operator==(const decoded_datagram&) const = default;
};

/// Fails only if the encoded datagram exceeds `max_datagram_bytes`. A datagram whose `estimated_size` is
/// within this limit always fits, since the estimate is never below the encoded size.
tl::expected<std::string, too_large> encode_datagram(const membership::datagram& value,
                                                     const std::string& mesh, common::hybrid_time sent);

/// Rejects datagrams from other meshes and with other protocol numbers.
tl::expected<decoded_datagram, datagram_error> decode_datagram(std::string_view bytes, std::string_view mesh);

/// Leaves the request's header unset: the peer package fills it in.
void write_sync_request(const membership::sync_request& value, peer::v1::SyncRequest& message);
tl::expected<membership::sync_request, decode_error> read_sync_request(const peer::v1::SyncRequest& message);

void write_sync_reply(const membership::sync_reply& value, peer::v1::SyncReply& message);
tl::expected<membership::sync_reply, decode_error> read_sync_reply(const peer::v1::SyncReply& message);

} // namespace boragehollow::codec
