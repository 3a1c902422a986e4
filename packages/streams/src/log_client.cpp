#include "boragehollow/streams/log_client.hpp"

#include "boragehollow/common/overloaded.hpp"

namespace boragehollow::streams {

tl::expected<revision, log_error> append(const log_client& client, const std::string& stream,
                                         const std::string& record, milliseconds timeout) {
    const auto call = common::overloaded{
        [&](const http_log_client& http) { return http.append(stream, record, timeout); },
        [&](const memory_log_client& memory) {
            return memory.log->append(stream, record, memory.client_name, timeout);
        },
    };
    return std::visit(call, client);
}

tl::expected<log_page, log_error> read(const log_client& client, const read_request& request,
                                       milliseconds timeout) {
    const auto call = common::overloaded{
        [&](const http_log_client& http) { return http.read(request, timeout); },
        [&](const memory_log_client& memory) {
            return memory.log->read(request, memory.client_name, timeout);
        },
    };
    return std::visit(call, client);
}

} // namespace boragehollow::streams
