#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/hybrid_clock.hpp"

#include <memory>
#include <optional>
#include <string>

namespace boragehollow::peer::v1 {
class Header;
}

namespace boragehollow::peer {

inline constexpr std::uint32_t oldest_protocol = 1;
inline constexpr std::uint32_t current_protocol = 1;

/// Writes the header of this daemon's messages to other daemons, and checks the headers of received ones.
struct peer_identity {
    std::string mesh;
    std::string host;
    std::shared_ptr<common::hybrid_clock> clock;

    void write(v1::Header& header) const;

    enum class refusal { other_mesh, unknown_protocol };

    /// Advances the hybrid clock by the sender's timestamp when the header is accepted.
    std::optional<refusal> check(const v1::Header& header) const;
};

} // namespace boragehollow::peer
