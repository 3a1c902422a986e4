#pragma once

#include "boragehollow/common/revision.hpp"
#include "boragehollow/peer/call_messages.hpp"
#include "boragehollow/web/http_server.hpp"

#include <string>
#include <string_view>

namespace boragehollow::daemon {

/// Writes the response of a call to its caller. A response that cannot be completed aborts the connection, so
/// that the caller never takes a truncated response for a complete one.
class caller_response {
public:
    caller_response(web::server_exchange& exchange, common::revision config_version)
        : m_exchange(exchange), m_config_version(config_version) {}

    /// Forwards a part of the target's response. Returns false when the caller has disconnected.
    bool forward(const peer::call_reply_part& part, std::string_view served_by);

    /// Sends an error response that states whether the call was run. Must not be called after a response was
    /// started.
    void fail(const peer::call_failure& failure);

    void abort() { m_exchange.abort(); }
    bool started() const { return m_started; }
    int status() const { return m_status; }

private:
    web::server_exchange& m_exchange;
    common::revision m_config_version;
    bool m_started = false;
    int m_status = 0;
};

/// HTTP status code of an error response.
int status_of(const peer::call_failure& failure);

/// JSON body of an error response: `{"outcome":...,"reason":...,"detail":...}`
std::string failure_body(const peer::call_failure& failure);

} // namespace boragehollow::daemon
