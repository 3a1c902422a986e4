#pragma once

#include "boragehollow/daemon/target_runner.hpp"
#include "boragehollow/membership/membership_engine.hpp"
#include "boragehollow/peer/peer_server.hpp"
#include "boragehollow/spreading/messages.hpp"
#include "boragehollow/telemetry/timeline_buffer.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace boragehollow::daemon {

/// Handlers of requests from other daemons. Each one waits a bounded time for the duty that owns the state;
/// an empty result means that the duty is overloaded.
struct peer_frontend_callbacks {
    std::function<bool(const std::string& from, std::vector<spreading::log_record>)> push;
    std::function<std::optional<spreading::pull_reply>(const spreading::pull_request&)> pull;
    std::function<std::optional<membership::sync_reply>(const membership::sync_request&)> sync;
    std::function<std::optional<membership::progress_counts>(common::revision)> progress;
    std::function<std::optional<telemetry::timeline_page>(std::optional<common::hybrid_time>, std::size_t)>
        timeline;
    std::string failure_domain;
};

/// Creates the gRPC handlers, which translate between protobuf messages and values.
peer::peer_handlers make_peer_handlers(peer_frontend_callbacks callbacks, target_runner& runner,
                                       const telemetry::event_log& events);

} // namespace boragehollow::daemon
