#pragma once

#include "test_mesh.hpp"

#include <variant>

namespace boragehollow::measure {

/// Time that two hops add to a call.
struct added_latency {
    static constexpr const char* name = "added";
};

/// Time from sending a change until it is in force on every daemon that lives.
struct convergence {
    static constexpr const char* name = "convergence";
};

/// Bytes of the control plane, and reads of the platform log.
struct control_bytes {
    static constexpr const char* name = "control-bytes";
};

/// Processor time, memory and bytes of one daemon, against the size of its mesh.
struct footprint {
    static constexpr const char* name = "footprint";
};

/// Service while demand swings past the capacity.
struct crest {
    static constexpr const char* name = "crest";
};

/// Latency while some targets are slowed and report a load that is not true.
struct slowed {
    static constexpr const char* name = "slowed";
};

/// Short requests behind long uploads.
struct head_of_line {
    static constexpr const char* name = "head-of-line";
};

using measurement =
    std::variant<added_latency, convergence, control_bytes, footprint, crest, slowed, head_of_line>;

result<void> run(const added_latency& which, context& shared);
result<void> run(const convergence& which, context& shared);
result<void> run(const control_bytes& which, context& shared);
result<void> run(const footprint& which, context& shared);
result<void> run(const crest& which, context& shared);
result<void> run(const slowed& which, context& shared);
result<void> run(const head_of_line& which, context& shared);

} // namespace boragehollow::measure
