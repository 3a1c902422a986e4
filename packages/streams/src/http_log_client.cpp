#include "boragehollow/platform/http_log_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <string_view>

namespace boragehollow::platform {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using error_code = boost::system::error_code;
using request_message = http::request<http::string_body>;
using response_parser = http::response_parser<http::string_body>;

/// A larger answer is no answer of the log service.
constexpr std::uint64_t max_answer_bytes = 64ULL * 1024 * 1024;

/// One request on a connection of its own. Each step ends at the deadline at the latest: CivetWeb's client,
/// which this package would otherwise use, has no time limit for the body of an answer.
class http_exchange {
public:
    explicit http_exchange(steady_time deadline) : m_stream(m_context) { m_stream.expires_at(deadline); }

    error_code connect(const asio::ip::tcp::endpoint& service) {
        m_stream.async_connect(service, [this](error_code result) { m_result = result; });
        return run();
    }

    error_code send(const request_message& request) {
        http::async_write(m_stream, request, [this](error_code result, std::size_t) { m_result = result; });
        return run();
    }

    error_code receive(response_parser& parser) {
        http::async_read(m_stream, m_buffer, parser,
                         [this](error_code result, std::size_t) { m_result = result; });
        return run();
    }

private:
    error_code run() {
        m_context.restart();
        m_context.run();
        return m_result;
    }

    asio::io_context m_context{1};
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    error_code m_result;
};

log_error answer_lost(std::string detail) {
    return {log_error_kind::answer_lost, std::move(detail), {}};
}

log_error unreachable(std::string detail) {
    return {log_error_kind::unreachable, std::move(detail), {}};
}

milliseconds retry_after(const http::response<http::string_body>& response) {
    const auto field = response[http::field::retry_after];
    const std::string_view value(field.data(), field.size());
    unsigned seconds = 0;
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), seconds);
    return parsed.ec == std::errc() ? milliseconds(std::chrono::seconds(seconds)) : milliseconds(0);
}

/// A client error and 503 say that the request was not carried out. Other server errors say nothing about it.
log_error status_error(const http::response<http::string_body>& response) {
    const unsigned status = response.result_int();
    const bool not_carried_out = (status >= 400 && status < 500) || status == 503;
    return {not_carried_out ? log_error_kind::refused : log_error_kind::answer_lost,
            "the log service answered " + std::to_string(status), retry_after(response)};
}

tl::expected<std::string, log_error> exchange(const common::endpoint& service, const request_message& request,
                                              milliseconds timeout) {
    error_code failed;
    const auto address = asio::ip::make_address(service.address, failed);
    if (failed) {
        return tl::unexpected(unreachable("'" + service.address + "' is not an IP number"));
    }
    http_exchange connection(common::steady_clock::now() + timeout);
    failed = connection.connect({address, service.port});
    if (failed) {
        return tl::unexpected(unreachable(failed.message()));
    }
    failed = connection.send(request);
    if (failed) {
        return tl::unexpected(answer_lost("the request could not be sent completely: " + failed.message()));
    }
    response_parser parser;
    parser.body_limit(max_answer_bytes);
    failed = connection.receive(parser);
    if (failed) {
        return tl::unexpected(answer_lost("no complete answer: " + failed.message()));
    }
    http::response<http::string_body> response = parser.release();
    if (response.result() != http::status::ok) {
        return tl::unexpected(status_error(response));
    }
    return std::move(response.body());
}

} // namespace

tl::expected<std::string, log_error> http_log_client::call(const call_parts& parts,
                                                           milliseconds timeout) const {
    if (link_cut()) {
        return tl::unexpected(unreachable("the link is cut"));
    }
    const http::verb verb = parts.append ? http::verb::post : http::verb::get;
    request_message request{verb, parts.path, 11, parts.body};
    request.set(http::field::host, common::to_string(m_service));
    request.set(http::field::user_agent, m_client_name);
    request.keep_alive(false);
    request.prepare_payload();
    try {
        auto answer = exchange(m_service, request, timeout);
        // The link was cut while the request was open, so its answer would not have arrived.
        if (link_cut()) {
            return tl::unexpected(answer_lost("the link is cut"));
        }
        return answer;
    } catch (const boost::system::system_error& error) {
        // Thrown when the process has no descriptors left, before a connection exists.
        return tl::unexpected(unreachable(error.what()));
    }
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

} // namespace boragehollow::platform
