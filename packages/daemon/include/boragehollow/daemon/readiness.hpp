#pragma once

#include "boragehollow/common/time.hpp"

#include <chrono>

namespace boragehollow::daemon {

/// What decides whether a daemon reports that it is ready for calls.
struct readiness_state {
    common::steady_time started;
    bool has_configuration = false;
    bool knows_targets = false; ///< Another daemon has sent all targets that it knows.
    bool stopping = false;
};

/// Time after which a daemon is ready although no other daemon has sent its targets: it may be the first one
/// of the mesh, or alone in its part of a partition. A daemon gets the targets within two seconds of its
/// start.
inline constexpr std::chrono::milliseconds max_wait_for_targets{3'000};

/// A daemon that has a configuration but knows no targets would refuse the calls that its readiness attracts.
inline bool is_ready(const readiness_state& state, common::steady_time now) {
    const bool targets = state.knows_targets || now - state.started >= max_wait_for_targets;
    return state.has_configuration && targets && !state.stopping;
}

} // namespace boragehollow::daemon
