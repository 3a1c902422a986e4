#pragma once

#include "options.hpp"
#include "work_keeper.hpp"

#include <cstdint>
#include <functional>
#include <stop_token>

namespace boragehollow::standin {

/// Asks for an announcement now rather than at the next interval.
struct announce_now {};

using announcer_ring = common::bounded_ring<announce_now>;

/// Loop of the duty that announces the target to the daemon on its host each 500 ms, until the ring is
/// closed.
std::function<void(std::stop_token)> announce_loop(const target_options& options, std::uint16_t port,
                                                   keeper_ring& keeper, announcer_ring& ring);

} // namespace boragehollow::standin
