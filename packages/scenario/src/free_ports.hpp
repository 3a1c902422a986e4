#pragma once

#include <cstdint>

namespace boragehollow::scenario {

/// Finds ports on loopback that nothing uses. They lie below the range from which the system takes the ports
/// of outgoing connections, so that none is lost between the search and the start of the program.
class free_ports {
public:
    free_ports();

    /// 0 when no port is left.
    std::uint16_t next();

private:
    std::uint16_t m_next;
};

} // namespace boragehollow::scenario
