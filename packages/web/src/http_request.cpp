#include "boragehollow/web/http_request.hpp"

#include "boragehollow/common/response_status.hpp"
#include "boragehollow/common/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <functional>

namespace boragehollow::web {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using error_code = boost::system::error_code;
using request_message = http::request<http::string_body>;
using response_parser = http::response_parser<http::string_body>;

/// Far above any response of a control service.
constexpr std::uint64_t max_response_bytes = 64ULL * 1024 * 1024;

/// Bytes that are received but not yet parsed. The parser alone does not limit a chunk extension.
constexpr std::size_t max_unparsed_bytes = 256 * 1024;

/// Covers one retransmission of a lost SYN packet, which the kernel sends after 1 s.
constexpr std::chrono::milliseconds connect_timeout{1'500};

class http_exchange {
public:
    http_exchange(common::steady_time deadline, const std::stop_token& stop)
        : m_deadline(deadline), m_stream(m_context),
          m_on_stop(stop, [this] { asio::post(m_context, [this] { m_stream.close(); }); }) {}

    error_code connect(const asio::ip::tcp::endpoint& service) {
        m_stream.expires_at(std::min(m_deadline, common::steady_clock::now() + connect_timeout));
        m_stream.async_connect(service, [this](error_code result) { m_result = result; });
        return run();
    }

    error_code send(const request_message& request) {
        m_stream.expires_at(m_deadline);
        http::async_write(m_stream, request, [this](error_code result, std::size_t) { m_result = result; });
        return run();
    }

    error_code receive(response_parser& parser) {
        http::async_read_header(m_stream, m_buffer, parser,
                                [this](error_code result, std::size_t) { m_result = result; });
        const error_code failed = run();
        if (failed) {
            return failed;
        }
        // Beast reserves memory for the stated length before it compares it with the parser's limit.
        if (parser.content_length().value_or(0) > max_response_bytes) {
            return make_error_code(http::error::body_limit);
        }
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

    common::steady_time m_deadline;
    asio::io_context m_context{1};
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer{max_unparsed_bytes};
    error_code m_result;
    std::stop_callback<std::function<void()>> m_on_stop;
};

request_message to_message(const common::endpoint& server, const http_request& request) {
    request_message message{http::string_to_verb(request.method), request.target, 11, request.body};
    message.set(http::field::host, common::to_string(server));
    for (const header& field : request.headers) {
        message.set(field.name, field.value);
    }
    message.keep_alive(false);
    message.prepare_payload();
    return message;
}

tl::expected<http_response, web_error> exchange(const common::endpoint& server,
                                                const request_message& request,
                                                std::chrono::milliseconds timeout,
                                                const std::stop_token& stop) {
    error_code failed;
    const auto address = asio::ip::make_address(server.address, failed);
    if (failed) {
        return tl::unexpected(
            web_error{web_error_kind::connect_failed, "'" + server.address + "' is not an IP address"});
    }
    http_exchange connection(common::steady_clock::now() + timeout, stop);
    failed = connection.connect({address, server.port});
    if (failed) {
        return tl::unexpected(web_error{web_error_kind::connect_failed, failed.message()});
    }
    failed = connection.send(request);
    if (failed) {
        return tl::unexpected(web_error{web_error_kind::send_failed, failed.message()});
    }
    response_parser parser;
    parser.body_limit(max_response_bytes);
    failed = connection.receive(parser);
    if (failed) {
        const auto kind =
            failed == beast::error::timeout ? web_error_kind::timed_out : web_error_kind::truncated;
        return tl::unexpected(web_error{kind, failed.message()});
    }
    auto message = parser.release();
    if (!common::is_final_status(message.result_int())) {
        return tl::unexpected(
            web_error{web_error_kind::malformed, "invalid status " + std::to_string(message.result_int())});
    }
    http_response response;
    response.status = message.result_int();
    for (const auto& field : message) {
        response.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    response.body = std::move(message.body());
    return response;
}

} // namespace

tl::expected<http_response, web_error> perform_request(const common::endpoint& server,
                                                       const http_request& request,
                                                       std::chrono::milliseconds timeout,
                                                       const std::stop_token& stop) {
    try {
        return exchange(server, to_message(server, request), timeout, stop);
    } catch (const boost::system::system_error& error) {
        // Thrown before a connection exists if the process is out of file descriptors.
        return tl::unexpected(web_error{web_error_kind::connect_failed, error.what()});
    }
}

} // namespace boragehollow::web
