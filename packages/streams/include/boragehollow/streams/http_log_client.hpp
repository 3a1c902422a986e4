#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/streams/memory_log.hpp"

#include <functional>
#include <string>
#include <utility>

namespace boragehollow::streams {

/// HTTP client of the platform's log service. Opens a connection for each call, so that a failed connect
/// means that nothing was sent.
class http_log_client {
public:
    /// Returns true while fault injection blocks the link to the service.
    using link_blocked_check = std::function<bool(const common::endpoint&)>;

    /// `client_name` is sent as the user agent. Without `link_blocked` the link is never blocked.
    http_log_client(common::endpoint service, std::string client_name, link_blocked_check link_blocked = {})
        : m_service(std::move(service)), m_client_name(std::move(client_name)),
          m_link_blocked(std::move(link_blocked)) {}

    tl::expected<revision, log_error> append(const std::string& stream, const std::string& record,
                                             milliseconds timeout) const;

    /// `timeout` must be longer than `request.wait`.
    tl::expected<log_page, log_error> read(const read_request& request, milliseconds timeout) const;

private:
    struct call_parameters {
        bool append = false;
        std::string path;
        std::string body;
    };

    tl::expected<std::string, log_error> call(const call_parameters& parameters, milliseconds timeout) const;
    bool is_link_blocked() const { return m_link_blocked && m_link_blocked(m_service); }

    common::endpoint m_service;
    std::string m_client_name;
    link_blocked_check m_link_blocked;
};

} // namespace boragehollow::streams
