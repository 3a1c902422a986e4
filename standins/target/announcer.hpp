#pragma once

#include "options.hpp"
#include "request_scheduler.hpp"

#include <cstdint>
#include <functional>
#include <stop_token>

namespace boragehollow::standin {

/// Requests an announcement at once instead of at the next interval.
struct announce_now {};

using announcer_ring = common::bounded_ring<announce_now>;

/// Returns the loop of the duty that announces the target to the daemon on its host every 500 ms, until the
/// ring is closed.
std::function<void(std::stop_token)> announce_loop(const target_options& options, std::uint16_t port,
                                                   scheduler_ring& scheduler, announcer_ring& ring);

} // namespace boragehollow::standin
