#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/streams/memory_log.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <string>

struct mg_context;

namespace boragehollow::platform_log {

/// HTTP server for a `memory_log`.
class log_server {
public:
    /// Port 0 selects a free port.
    static tl::expected<std::unique_ptr<log_server>, std::string>
    start(const common::endpoint& listen, std::shared_ptr<streams::memory_log> log);

    log_server(const log_server&) = delete;
    log_server& operator=(const log_server&) = delete;
    ~log_server();

    const common::endpoint& local_endpoint() const { return m_local_endpoint; }

private:
    log_server(common::endpoint local_endpoint, std::shared_ptr<streams::memory_log> log)
        : m_local_endpoint(std::move(local_endpoint)), m_log(std::move(log)) {}

    common::endpoint m_local_endpoint;
    std::shared_ptr<streams::memory_log> m_log;
    mg_context* m_context = nullptr;
};

} // namespace boragehollow::platform_log
