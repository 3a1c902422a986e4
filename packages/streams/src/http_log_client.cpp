#include "boragehollow/streams/http_log_client.hpp"

#include "boragehollow/web/http_request.hpp"

#include <charconv>
#include <string_view>

namespace boragehollow::streams {

namespace {

log_error response_lost(std::string detail) {
    return {log_error_kind::response_lost, std::move(detail), {}};
}

log_error unreachable(std::string detail) {
    return {log_error_kind::unreachable, std::move(detail), {}};
}

milliseconds retry_after(const web::http_response& response) {
    const std::string_view value = web::find_header(response.headers, "Retry-After").value_or("");
    unsigned seconds = 0;
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), seconds);
    return parsed.ec == std::errc() ? milliseconds(std::chrono::seconds(seconds)) : milliseconds(0);
}

/// After 4xx and 503 the request was not executed. After other errors it may have been.
log_error status_error(const web::http_response& response) {
    const bool not_executed = (response.status >= 400 && response.status < 500) || response.status == 503;
    return {not_executed ? log_error_kind::refused : log_error_kind::response_lost,
            "the log service responded with status " + std::to_string(response.status),
            retry_after(response)};
}

log_error transport_error(const web::web_error& error) {
    if (error.kind == web::web_error_kind::connect_failed) {
        return unreachable(error.detail);
    }
    return response_lost("no complete response: " + error.detail);
}

} // namespace

tl::expected<std::string, log_error> http_log_client::call(const call_parameters& parameters,
                                                           milliseconds timeout) const {
    if (is_link_blocked()) {
        return tl::unexpected(unreachable("the link is blocked by fault injection"));
    }
    const web::http_request request{parameters.append ? "POST" : "GET",
                                    parameters.path,
                                    {{"User-Agent", m_client_name}},
                                    parameters.body};
    auto response = web::perform_request(m_service, request, timeout);
    if (!response) {
        return tl::unexpected(transport_error(response.error()));
    }
    // Fault injection blocked the link during the request: on a real network the response would be lost.
    if (is_link_blocked()) {
        return tl::unexpected(response_lost("the link is blocked by fault injection"));
    }
    constexpr unsigned ok = 200;
    if (response->status != ok) {
        return tl::unexpected(status_error(*response));
    }
    return std::move(response->body);
}

tl::expected<revision, log_error>
http_log_client::append(const std::string& stream, const std::string& record, milliseconds timeout) const {
    const auto body = call({true, "/v1/streams/" + stream + "/records", record}, timeout);
    if (!body) {
        return tl::unexpected(body.error());
    }
    auto offset = codec::decode_append_reply(*body);
    if (!offset) {
        return tl::unexpected(log_error{log_error_kind::malformed, std::move(offset.error()), {}});
    }
    return *offset;
}

tl::expected<log_page, log_error> http_log_client::read(const read_request& request,
                                                        milliseconds timeout) const {
    const std::string path =
        "/v1/streams/" + request.stream + "/records?from=" + std::to_string(request.from.value) +
        "&max=" + std::to_string(request.max_records) + "&wait_ms=" + std::to_string(request.wait.count());
    const auto body = call({false, path, {}}, timeout);
    if (!body) {
        return tl::unexpected(body.error());
    }
    auto page = codec::decode_log_page(*body);
    if (!page) {
        return tl::unexpected(log_error{log_error_kind::malformed, std::move(page.error()), {}});
    }
    return std::move(*page);
}

} // namespace boragehollow::streams
