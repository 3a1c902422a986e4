#pragma once

#include "http_client.hpp"
#include "messages.hpp"
#include "options.hpp"

#include <map>

namespace boragehollow::load {

/// Sends requests one at a time over keep-alive connections and classifies the responses. Each worker thread
/// owns one.
class sender {
public:
    explicit sender(const load_options& options) : m_options(options) {}

    request_result send(planned_request request);

private:
    struct connection {
        standin::http_client client;
        steady_time last_use;
    };

    standin::http_request build_request(const planned_request& request) const;
    tl::expected<standin::http_response, standin::client_failure>
    exchange(const planned_request& request, const std::function<void(std::span<const char>)>& receive);
    static void classify(const standin::http_response& response, const std::string& digest,
                         request_result& result);
    void verify_bodies(const standin::http_response& response, const std::string& digest,
                       request_result& result) const;

    load_options m_options;
    std::map<std::size_t, connection> m_connections;
};

} // namespace boragehollow::load
