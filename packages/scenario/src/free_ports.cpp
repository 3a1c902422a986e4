#include "free_ports.hpp"

#include "boragehollow/common/scope_guard.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace boragehollow::scenario {

namespace {

constexpr std::uint16_t first_port = 10'000;
constexpr std::uint16_t last_port = 31'999;

bool can_bind(int type, std::uint16_t port) {
    const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return false;
    }
    const common::scope_guard close_descriptor([&] { ::close(descriptor); });
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
}

} // namespace

/// The first port tried depends on the process id, so that concurrent runners rarely try the same ports. The
/// factor keeps the first ports of runners with consecutive process ids apart.
free_ports::free_ports()
    : m_next(static_cast<std::uint16_t>(first_port + (::getpid() * 251) % (last_port - first_port))) {}

std::uint16_t free_ports::next() {
    for (int tried = 0; tried <= last_port - first_port; ++tried) {
        const std::uint16_t port = m_next;
        m_next = m_next == last_port ? first_port : static_cast<std::uint16_t>(m_next + 1);
        if (can_bind(SOCK_STREAM, port) && can_bind(SOCK_DGRAM, port)) {
            return port;
        }
    }
    return 0;
}

} // namespace boragehollow::scenario
