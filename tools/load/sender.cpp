#include "sender.hpp"

#include "body_pattern.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

namespace boragehollow::load {

namespace {

// A server may close an idle connection at any time, and a request sent at that moment would count as broken.
constexpr milliseconds max_idle_time{1'000};

std::string reason_of(const std::string& body) {
    const auto text = nlohmann::json::parse(body, nullptr, false);
    if (!text.is_object() || !text.contains("reason") || !text["reason"].is_string()) {
        return {};
    }
    return text["reason"].get<std::string>();
}

const char* reason_of(standin::client_failure failure) {
    switch (failure) {
    case standin::client_failure::not_connected:
        return "not_connected";
    case standin::client_failure::broken_sending:
        return "broken_sending";
    case standin::client_failure::no_response:
        return "no_response";
    case standin::client_failure::broken_response:
        return "broken_response";
    }
    return "unknown";
}

} // namespace

standin::http_request sender::build_request(const planned_request& request) const {
    standin::http_request message;
    message.host = m_options.host;
    message.headers = {{"x-request-id", request.id}, {m_options.caller_header, request.caller}};
    if (m_options.deadline.count() > 0) {
        message.headers.emplace_back("boragehollow-deadline-ms", std::to_string(m_options.deadline.count()));
    }
    if (m_options.fresh_connections) {
        message.headers.emplace_back("Connection", "close");
    }
    const auto work = [&message](milliseconds time) {
        message.headers.emplace_back("x-work-ms", std::to_string(time.count()));
    };
    const auto generated_body = [&message, &request](std::uint64_t size) {
        message.body_size = size;
        message.body = [pattern = std::make_shared<standin::body_pattern>(request.id)](std::span<char> out) {
            pattern->fill(out);
        };
    };
    switch (request.kind) {
    case request_kind::short_work:
        message.target = m_options.short_path;
        break;
    case request_kind::order:
        message.method = "POST";
        message.target = m_options.order_path;
        message.headers.emplace_back("Idempotency-Key", request.key);
        generated_body(64);
        break;
    case request_kind::long_work:
        message.target = m_options.long_path;
        work(m_options.long_work);
        return message;
    case request_kind::upload:
        message.method = "PUT";
        message.target = m_options.upload_path;
        message.chunked = m_options.chunked_upload;
        generated_body(m_options.upload_bytes);
        return message;
    case request_kind::download:
        message.target = m_options.download_path;
        message.target += m_options.download_path.find('?') == std::string::npos ? "?bytes=" : "&bytes=";
        message.target += std::to_string(m_options.download_bytes);
        return message;
    }
    if (m_options.short_work.count() > 0) {
        work(m_options.short_work);
    }
    return message;
}

tl::expected<standin::http_response, standin::client_failure>
sender::exchange(const planned_request& request, const std::function<void(std::span<const char>)>& receive) {
    const steady_time now = common::steady_clock::now();
    auto found = m_connections.find(request.server);
    if (found != m_connections.end() && now - found->second.last_use > max_idle_time) {
        m_connections.erase(found);
        found = m_connections.end();
    }
    if (found == m_connections.end()) {
        auto client = standin::http_client::connect(m_options.servers.at(request.server));
        if (!client) {
            return tl::unexpected(client.error());
        }
        found = m_connections.emplace(request.server, connection{std::move(*client), now}).first;
    }
    auto response = found->second.client.send(build_request(request), m_options.timeout, receive);
    if (!response || m_options.fresh_connections || !found->second.client.reusable()) {
        m_connections.erase(found);
    } else {
        found->second.last_use = common::steady_clock::now();
    }
    return response;
}

request_result sender::send(planned_request request) {
    constexpr std::size_t max_error_body_bytes = 4'096;
    const steady_time begun = common::steady_clock::now();
    request_result result;
    result.queued = std::chrono::duration_cast<microseconds>(begun - request.intended);
    standin::body_digest digest;
    std::string body_prefix;
    const auto response = exchange(request, [&](std::span<const char> bytes) {
        digest.add(bytes);
        if (body_prefix.size() < max_error_body_bytes) {
            body_prefix.append(bytes.data(), bytes.size());
        }
    });
    const steady_time end = common::steady_clock::now();
    result.end = common::wall_now();
    result.latency = std::chrono::duration_cast<microseconds>(end - request.intended);
    result.request = std::move(request);
    if (!response) {
        const bool sent = response.error() != standin::client_failure::not_connected;
        result.outcome = sent ? request_outcome::broken : request_outcome::not_run;
        result.reason = reason_of(response.error());
        return result;
    }
    result.status = response->status;
    result.target = response->header("x-target");
    result.run = response->header("x-run");
    result.body_size = response->body_size;
    classify(*response, digest.hex(), result);
    if (result.outcome == request_outcome::answered && result.status == 200) {
        verify_bodies(*response, digest.hex(), result);
    }
    if (result.outcome != request_outcome::answered && result.reason.empty()) {
        result.reason = reason_of(body_prefix);
    }
    return result;
}

void sender::classify(const standin::http_response& response, const std::string& digest,
                      request_result& result) {
    (void)digest;
    const std::string stated = response.header("boragehollow-outcome");
    const std::string echoed = response.header("x-request-id");
    if (!echoed.empty() && echoed != result.request.id) {
        result.outcome = request_outcome::wrong;
        result.reason = "response of request " + echoed;
        return;
    }
    if (stated == "not_run" || stated == "unknown") {
        result.outcome = stated == "unknown" ? request_outcome::unknown : request_outcome::not_run;
        return;
    }
    if (!response.header("x-target-refused").empty()) {
        result.outcome = request_outcome::not_run;
        result.reason = "target_" + response.header("x-target-refused");
        return;
    }
    if (echoed.empty() && response.status == 200) {
        result.outcome = request_outcome::wrong;
        result.reason = "response without a request id";
        return;
    }
    result.outcome = request_outcome::answered;
}

void sender::verify_bodies(const standin::http_response& response, const std::string& digest,
                           request_result& result) const {
    const planned_request& request = result.request;
    if (request.kind == request_kind::download) {
        const std::uint64_t size = m_options.download_bytes;
        if (response.body_size != size || digest != standin::pattern_digest(request.id, size)) {
            result.outcome = request_outcome::wrong;
            result.reason = "body of another request or size";
        }
        return;
    }
    const bool has_body = request.kind == request_kind::upload || request.kind == request_kind::order;
    if (!has_body) {
        return;
    }
    const std::uint64_t size = request.kind == request_kind::upload ? m_options.upload_bytes : 64;
    if (response.header("x-received-bytes") != std::to_string(size) ||
        response.header("x-received-digest") != standin::pattern_digest(request.id, size)) {
        result.outcome = request_outcome::wrong;
        result.reason = "the target received another body";
    }
}

} // namespace boragehollow::load
