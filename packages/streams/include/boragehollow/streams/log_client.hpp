#pragma once

#include "boragehollow/streams/http_log_client.hpp"
#include "boragehollow/streams/memory_log.hpp"

#include <memory>
#include <string>
#include <variant>

namespace boragehollow::streams {

/// Client of a log service in the same process.
struct memory_log_client {
    std::shared_ptr<memory_log> log;
    std::string client_name = "memory";
};

/// Every duty has its own client. Only one thread at a time may use a client.
using log_client = std::variant<http_log_client, memory_log_client>;

tl::expected<revision, log_error> append(const log_client& client, const std::string& stream,
                                         const std::string& record, milliseconds timeout);

tl::expected<log_page, log_error> read(const log_client& client, const read_request& request,
                                       milliseconds timeout);

} // namespace boragehollow::streams
