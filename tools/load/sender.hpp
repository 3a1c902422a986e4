#pragma once

#include "http_client.hpp"
#include "messages.hpp"
#include "options.hpp"

#include <map>

namespace boragehollow::load {

/// Sends requests one after another and judges their responses. Each worker thread owns one.
class sender {
public:
    explicit sender(const load_options& options) : m_options(options) {}

    answer send(planned_request request);

private:
    struct connection {
        standin::http_client client;
        steady_time last_use;
    };

    standin::http_request build(const planned_request& request) const;
    tl::expected<standin::http_response, standin::client_failure>
    exchange(const planned_request& request, const std::function<void(std::span<const char>)>& receive);
    static void judge(const standin::http_response& response, const std::string& digest, answer& result);
    void judge_bodies(const standin::http_response& response, const std::string& digest,
                      answer& result) const;

    load_options m_options;
    std::map<std::size_t, connection> m_connections;
};

} // namespace boragehollow::load
