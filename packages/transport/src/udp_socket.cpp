#include "boragehollow/transport/udp_socket.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <optional>
#include <utility>

#include <unistd.h>

namespace boragehollow::transport {

namespace {

constexpr std::size_t max_datagram_bytes = 65536;
// Holds the datagrams of a reconnect storm while the receiving thread is not scheduled. The kernel may limit
// the size.
constexpr int receive_buffer_bytes = 1024 * 1024;

struct socket_address {
    sockaddr_storage storage{};
    socklen_t length = 0;

    const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
    sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

transport_error make_error(operation failed, int code, std::string subject = {}) {
    return {failed, code, std::move(subject)};
}

std::optional<socket_address> to_socket_address(const common::endpoint& value) {
    socket_address address;
    sockaddr_in version4{};
    if (inet_pton(AF_INET, value.address.c_str(), &version4.sin_addr) == 1) {
        version4.sin_family = AF_INET;
        version4.sin_port = htons(value.port);
        std::memcpy(&address.storage, &version4, sizeof version4);
        address.length = sizeof version4;
        return address;
    }
    sockaddr_in6 version6{};
    if (inet_pton(AF_INET6, value.address.c_str(), &version6.sin6_addr) == 1) {
        version6.sin6_family = AF_INET6;
        version6.sin6_port = htons(value.port);
        std::memcpy(&address.storage, &version6, sizeof version6);
        address.length = sizeof version6;
        return address;
    }
    return std::nullopt;
}

common::endpoint to_endpoint(const socket_address& address) {
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.storage.ss_family == AF_INET6) {
        sockaddr_in6 version6{};
        std::memcpy(&version6, &address.storage, sizeof version6);
        inet_ntop(AF_INET6, &version6.sin6_addr, text.data(), text.size());
        return {text.data(), ntohs(version6.sin6_port)};
    }
    sockaddr_in version4{};
    std::memcpy(&version4, &address.storage, sizeof version4);
    inet_ntop(AF_INET, &version4.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(version4.sin_port)};
}

timespec remaining_until(common::steady_time deadline) {
    // Limited to one day, so that a distant deadline does not overflow. After a day `receive_until` reports a
    // timeout before the deadline, and its caller waits again.
    const common::steady_time now = common::steady_clock::now();
    const auto remaining = std::clamp<common::steady_clock::duration>(
        deadline <= now ? common::steady_clock::duration::zero() : deadline - now,
        common::steady_clock::duration::zero(), std::chrono::hours(24));
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(remaining);
    const auto rest = std::chrono::duration_cast<std::chrono::nanoseconds>(remaining - seconds);
    return {seconds.count(), rest.count()};
}

} // namespace

udp_socket::udp_socket(unique_fd socket, unique_fd wake_up, common::endpoint local)
    : m_socket(std::move(socket)), m_wake_up(std::move(wake_up)), m_local(std::move(local)) {}

tl::expected<udp_socket, transport_error> udp_socket::bind(const common::endpoint& local) {
    const std::string subject = common::to_string(local);
    const auto address = to_socket_address(local);
    if (!address) {
        return tl::unexpected(make_error(operation::parse_address, EINVAL, subject));
    }
    const int family = address->storage.ss_family;
    unique_fd socket(::socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.valid()) {
        return tl::unexpected(make_error(operation::create_socket, errno, subject));
    }
    unique_fd wake_up(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    if (!wake_up.valid()) {
        return tl::unexpected(make_error(operation::create_socket, errno, subject));
    }
    const int on = 1;
    if (family == AF_INET6 && ::setsockopt(socket.get(), IPPROTO_IPV6, IPV6_V6ONLY, &on, sizeof on) != 0) {
        return tl::unexpected(make_error(operation::create_socket, errno, subject));
    }
    // Only an optimization, so a failure is ignored.
    ::setsockopt(socket.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
    if (::bind(socket.get(), address->get(), address->length) != 0) {
        return tl::unexpected(make_error(operation::bind, errno, subject));
    }
    socket_address bound;
    bound.length = sizeof bound.storage;
    if (::getsockname(socket.get(), bound.get(), &bound.length) != 0) {
        return tl::unexpected(make_error(operation::bind, errno, subject));
    }
    return udp_socket(std::move(socket), std::move(wake_up), to_endpoint(bound));
}

tl::expected<void, transport_error> udp_socket::send(std::string_view bytes,
                                                     const common::endpoint& to) const {
    const auto address = to_socket_address(to);
    if (!address) {
        return tl::unexpected(make_error(operation::parse_address, EINVAL, common::to_string(to)));
    }
    while (::sendto(m_socket.get(), bytes.data(), bytes.size(), 0, address->get(), address->length) < 0) {
        if (errno != EINTR) {
            return tl::unexpected(make_error(operation::send, errno, common::to_string(to)));
        }
    }
    return {};
}

tl::expected<receive_outcome, transport_error> udp_socket::receive_until(common::steady_time deadline) const {
    while (true) {
        std::array<pollfd, 2> descriptors{pollfd{m_wake_up.get(), POLLIN, 0},
                                          pollfd{m_socket.get(), POLLIN, 0}};
        const timespec timeout = remaining_until(deadline);
        const int ready = ::ppoll(descriptors.data(), descriptors.size(), &timeout, nullptr);
        if (ready == 0) {
            return receive_timed_out{};
        }
        if (ready < 0) {
            if (errno == EINTR) {
                continue;
            }
            return tl::unexpected(make_error(operation::wait, errno));
        }
        if (descriptors[0].revents != 0) {
            std::uint64_t count = 0;
            // Resets the counter. The read cannot block, since the descriptor is readable.
            [[maybe_unused]] const ssize_t bytes = ::read(m_wake_up.get(), &count, sizeof count);
            return receive_woken{};
        }
        std::array<char, max_datagram_bytes> buffer;
        socket_address from;
        from.length = sizeof from.storage;
        const ssize_t size =
            ::recvfrom(m_socket.get(), buffer.data(), buffer.size(), 0, from.get(), &from.length);
        if (size >= 0) {
            return received_datagram{to_endpoint(from),
                                     std::string(buffer.data(), static_cast<std::size_t>(size))};
        }
        // A datagram with a wrong checksum wakes the poll, but the kernel discards it on receive.
        if (errno != EAGAIN && errno != EINTR) {
            return tl::unexpected(make_error(operation::receive, errno));
        }
    }
}

void udp_socket::wake() const {
    const std::uint64_t one = 1;
    // Fails only when the counter is at its maximum, in which case the wait ends anyway.
    [[maybe_unused]] const ssize_t bytes = ::write(m_wake_up.get(), &one, sizeof one);
}

} // namespace boragehollow::transport
