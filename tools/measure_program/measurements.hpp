#pragma once

#include "test_mesh.hpp"

#include <variant>

namespace boragehollow::measure {

/// Latency that the mesh adds to a call, over two daemons and over one.
struct added_latency {
    static constexpr const char* name = "added";
};

/// Time from submitting a configuration change until every running daemon has applied it.
struct convergence {
    static constexpr const char* name = "convergence";
};

/// Control-plane traffic per daemon, and reads of the platform log.
struct control_bytes {
    static constexpr const char* name = "control-bytes";
};

/// CPU time, memory and control traffic of one daemon, by mesh size, targets and services.
struct footprint {
    static constexpr const char* name = "footprint";
};

/// Requests answered within their deadline while the load rises above the capacity and falls again.
struct overload {
    static constexpr const char* name = "crest";
};

/// Latency while some targets are slow and report a false load.
struct slowed_targets {
    static constexpr const char* name = "slowed";
};

/// Head-of-line blocking: latency of short requests that compete with long uploads.
struct head_of_line {
    static constexpr const char* name = "head-of-line";
};

using measurement = std::variant<added_latency, convergence, control_bytes, footprint, overload,
                                 slowed_targets, head_of_line>;

result<void> run(const added_latency& tag, measurement_context& context);
result<void> run(const convergence& tag, measurement_context& context);
result<void> run(const control_bytes& tag, measurement_context& context);
result<void> run(const footprint& tag, measurement_context& context);
result<void> run(const overload& tag, measurement_context& context);
result<void> run(const slowed_targets& tag, measurement_context& context);
result<void> run(const head_of_line& tag, measurement_context& context);

} // namespace boragehollow::measure
