#pragma once

#include <cstdint>

namespace boragehollow::scenario {

/// Finds unused ports on loopback. They are below the ephemeral port range, so that no outgoing connection
/// takes a port before the program that is to use it has started.
class free_ports {
public:
    free_ports();

    /// Returns 0 if no port is available.
    std::uint16_t next();

private:
    std::uint16_t m_next;
};

} // namespace boragehollow::scenario
