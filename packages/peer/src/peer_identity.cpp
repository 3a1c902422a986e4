#include "boragehollow/peer/peer_identity.hpp"

#include <peer.pb.h>

namespace boragehollow::peer {

void peer_identity::write(v1::Header& header) const {
    const common::hybrid_time stamp = clock->stamp(common::wall_now());
    header.set_mesh(mesh);
    header.set_protocol(current_protocol);
    header.set_from_host(host);
    header.set_hlc_wall_us(static_cast<std::uint64_t>(stamp.wall.time_since_epoch().count()));
    header.set_hlc_counter(stamp.counter);
}

std::optional<peer_identity::refusal> peer_identity::check(const v1::Header& header) const {
    if (header.mesh() != mesh) {
        return refusal::other_mesh;
    }
    if (header.protocol() < oldest_protocol || header.protocol() > current_protocol) {
        return refusal::unknown_protocol;
    }
    const common::wall_time wall(std::chrono::microseconds(header.hlc_wall_us()));
    clock->observe({wall, header.hlc_counter()}, common::wall_now());
    return std::nullopt;
}

} // namespace boragehollow::peer
