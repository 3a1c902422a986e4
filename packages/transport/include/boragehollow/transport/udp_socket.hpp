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

/// UDP socket bound to one IP number. One thread may receive while others send or wake it.
class udp_socket {
public:
    /// Port 0 lets the kernel choose one; `local` tells which. An IPv6 socket carries IPv6 only.
    static tl::expected<udp_socket, transport_error> bind(const common::endpoint& local);

    const common::endpoint& local_endpoint() const { return m_local; }

    /// Never waits: a full send buffer is an error, as a lost datagram would be on the way.
    tl::expected<void, transport_error> send(std::string_view bytes, const common::endpoint& to) const;

    /// Waits in the kernel. A datagram above 64 KB is cut; all others arrive whole.
    tl::expected<receive_outcome, transport_error> receive_until(common::steady_time deadline) const;

    /// Ends the current or the next wait.
    void wake() const;

private:
    udp_socket(unique_fd socket, unique_fd wake_up, common::endpoint local);

    unique_fd m_socket;
    unique_fd m_wake_up;
    common::endpoint m_local;
};

} // namespace boragehollow::transport
