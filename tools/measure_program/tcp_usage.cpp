#include "tcp_usage.hpp"

#include "boragehollow/common/scope_guard.hpp"

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/rtnetlink.h>
#include <linux/sock_diag.h>
#include <linux/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace boragehollow::measure {

namespace {

constexpr std::uint32_t established_state = 1; ///< TCP_ESTABLISHED of the kernel.

struct dump_request {
    nlmsghdr header;
    inet_diag_req_v2 query;
};

bool send_request(int socket, std::uint8_t family) {
    dump_request request{};
    request.header.nlmsg_len = sizeof request;
    request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    request.header.nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP;
    request.query.sdiag_family = family;
    request.query.sdiag_protocol = IPPROTO_TCP;
    request.query.idiag_ext = 1U << (INET_DIAG_INFO - 1U);
    request.query.idiag_states = 1U << established_state;
    return ::send(socket, &request, sizeof request, 0) == static_cast<ssize_t>(sizeof request);
}

void add_socket(const nlmsghdr* message, tcp_table& table) {
    inet_diag_msg socket{};
    std::memcpy(&socket, NLMSG_DATA(message), sizeof socket);
    const auto* data = static_cast<const char*>(NLMSG_DATA(message));
    std::size_t left = message->nlmsg_len - NLMSG_LENGTH(sizeof socket);
    const char* position = data + NLMSG_ALIGN(sizeof socket);
    while (left >= sizeof(rtattr)) {
        rtattr attribute{};
        std::memcpy(&attribute, position, sizeof attribute);
        if (attribute.rta_len < sizeof attribute || attribute.rta_len > left) {
            return;
        }
        if (attribute.rta_type == INET_DIAG_INFO) {
            // An older kernel sends a shorter structure; the missing fields stay 0.
            tcp_info info{};
            std::memcpy(&info, position + sizeof attribute,
                        std::min<std::size_t>(sizeof info, attribute.rta_len - sizeof attribute));
            table[{ntohs(socket.id.idiag_sport), ntohs(socket.id.idiag_dport)}] = {
                info.tcpi_bytes_acked + info.tcpi_bytes_received,
                std::uint64_t{info.tcpi_segs_in} + info.tcpi_segs_out};
        }
        const std::size_t step = std::min<std::size_t>(RTA_ALIGN(attribute.rta_len), left);
        position += step;
        left -= step;
    }
}

tl::expected<void, std::string> read_family(int socket, std::uint8_t family, tcp_table& table) {
    if (!send_request(socket, family)) {
        return tl::unexpected(std::string("cannot send the sock_diag request for TCP connections"));
    }
    alignas(nlmsghdr) std::array<char, 32'768> buffer{};
    while (true) {
        const ssize_t received = ::recv(socket, buffer.data(), buffer.size(), 0);
        if (received <= 0) {
            return tl::unexpected(std::string("cannot read the sock_diag reply for TCP connections"));
        }
        auto left = static_cast<std::size_t>(received);
        const auto* message = reinterpret_cast<const nlmsghdr*>(buffer.data());
        while (NLMSG_OK(message, left)) {
            if (message->nlmsg_type == NLMSG_DONE) {
                return {};
            }
            if (message->nlmsg_type == NLMSG_ERROR) {
                return tl::unexpected(
                    std::string("the kernel rejected the sock_diag request for TCP connections"));
            }
            add_socket(message, table);
            const std::size_t step = std::min<std::size_t>(NLMSG_ALIGN(message->nlmsg_len), left);
            left -= step;
            message = reinterpret_cast<const nlmsghdr*>(reinterpret_cast<const char*>(message) + step);
        }
    }
}

} // namespace

tl::expected<tcp_table, std::string> read_tcp_table() {
    const int socket = ::socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    if (socket < 0) {
        return tl::unexpected(std::string("cannot open a netlink socket"));
    }
    const common::scope_guard close_socket([&] { ::close(socket); });
    tcp_table table;
    // gRPC listens on dual-stack sockets, so IPv4 connections may be listed under IPv6.
    for (const int family : {AF_INET, AF_INET6}) {
        const auto read = read_family(socket, static_cast<std::uint8_t>(family), table);
        if (!read) {
            return tl::unexpected(read.error());
        }
    }
    return table;
}

} // namespace boragehollow::measure
