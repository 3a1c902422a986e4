#pragma once

#include "boragehollow/streams/http_log_client.hpp"
#include "boragehollow/streams/memory_log.hpp"

#include <memory>
#include <string>
#include <variant>

namespace boragehollow::streams {

/// Uses a log service in this process.
struct memory_log_client {
    std::shared_ptr<memory_log> log;
    std::string client_name = "memory";
};

/// Each duty has its own client; a client is used by one thread at a time.
using log_client = std::variant<http_log_client, memory_log_client>;

tl::expected<revision, log_error> append(const log_client& client, const std::string& stream,
                                         const std::string& record, milliseconds timeout);

tl::expected<log_page, log_error> read(const log_client& client, const read_request& request,
                                       milliseconds timeout);

} // namespace boragehollow::streams
