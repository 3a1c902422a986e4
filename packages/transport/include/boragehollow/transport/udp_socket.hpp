#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/time.hpp"
#include "boragehollow/transport/transport_error.hpp"
#include "boragehollow/transport/unique_fd.hpp"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <variant>

namespace boragehollow::transport {

struct received_datagram {
    common::endpoint from;
    std::string bytes;
};

struct receive_timed_out {};

/// Another thread called `wake`.
struct receive_woken {};

using receive_outcome = std::variant<received_datagram, receive_timed_out, receive_woken>;

/// UDP socket bound to one IP address. One thread may receive while other threads send or call `wake`.
class udp_socket {
public:
    /// With port 0 the kernel chooses the port; see `local_endpoint`. An IPv6 socket does not accept IPv4.
    static tl::expected<udp_socket, transport_error> bind(const common::endpoint& local);

    const common::endpoint& local_endpoint() const { return m_local; }

    /// Does not block. A full send buffer is an error; the datagram is then lost, as it could be on the
    /// network.
    tl::expected<void, transport_error> send(std::string_view bytes, const common::endpoint& to) const;

    /// Blocks until a datagram arrives, the deadline passes or `wake` is called. A datagram above 64 KB is
    /// truncated.
    tl::expected<receive_outcome, transport_error> receive_until(common::steady_time deadline) const;

    /// Interrupts the current `receive_until`, or the next one when none is in progress.
    void wake() const;

private:
    udp_socket(unique_fd socket, unique_fd wake_up, common::endpoint local);

    unique_fd m_socket;
    unique_fd m_wake_up;
    common::endpoint m_local;
};

} // namespace boragehollow::transport
