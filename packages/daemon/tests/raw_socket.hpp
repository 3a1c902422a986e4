#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/time.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <string_view>
#include <utility>

namespace boragehollow::daemon::testing {

/// Socket that sends arbitrary bytes, to simulate clients that violate a protocol.
class raw_socket {
public:
    raw_socket(const common::endpoint& to, int type) : m_socket(::socket(AF_INET, type, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        inet_pton(AF_INET, to.address.c_str(), &address.sin_addr);
        m_connected = ::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    }
    raw_socket(raw_socket&& other) noexcept
        : m_socket(std::exchange(other.m_socket, -1)), m_connected(other.m_connected) {}
    raw_socket(const raw_socket&) = delete;
    raw_socket& operator=(const raw_socket&) = delete;
    ~raw_socket() {
        if (m_socket >= 0) {
            ::close(m_socket);
        }
    }

    bool connected() const { return m_connected; }

    bool send(std::string_view bytes) {
        while (!bytes.empty()) {
            const ssize_t count = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

    void end_sending() { ::shutdown(m_socket, SHUT_WR); }

    /// Receives until the peer closes the connection or sends nothing for `silence`.
    std::string receive(std::chrono::milliseconds silence) {
        std::string received;
        std::array<char, 4096> buffer{};
        pollfd entry{m_socket, POLLIN, 0};
        while (::poll(&entry, 1, static_cast<int>(silence.count())) > 0) {
            const ssize_t count = ::recv(m_socket, buffer.data(), buffer.size(), 0);
            if (count <= 0) {
                break;
            }
            received.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return received;
    }

private:
    int m_socket;
    bool m_connected = false;
};

/// Sends bytes over TCP and returns the response.
inline std::string exchange_bytes(const common::endpoint& to, std::string_view bytes,
                                  std::chrono::milliseconds silence = std::chrono::milliseconds(1'500)) {
    raw_socket socket(to, SOCK_STREAM);
    socket.send(bytes);
    return socket.receive(silence);
}

} // namespace boragehollow::daemon::testing
