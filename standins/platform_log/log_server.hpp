#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/streams/memory_log.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <string>

struct mg_context;

namespace boragehollow::platform_log {

/// Serves a `memory_log` over HTTP for the life of the object.
class log_server {
public:
    /// Port 0 takes a free port.
    static tl::expected<std::unique_ptr<log_server>, std::string>
    start(const common::endpoint& listen, std::shared_ptr<streams::memory_log> log);

    log_server(const log_server&) = delete;
    log_server& operator=(const log_server&) = delete;
    ~log_server();

    const common::endpoint& address() const { return m_address; }

private:
    log_server(common::endpoint address, std::shared_ptr<streams::memory_log> log)
        : m_address(std::move(address)), m_log(std::move(log)) {}

    common::endpoint m_address;
    std::shared_ptr<streams::memory_log> m_log;
    mg_context* m_context = nullptr;
};

} // namespace boragehollow::platform_log
