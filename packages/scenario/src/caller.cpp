#include "caller.hpp"

#include "boragehollow/common/rendezvous.hpp"
#include "boragehollow/web/http_client.hpp"
#include "control_api.hpp"
#include "interruptible_wait.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>

namespace boragehollow::scenario {

namespace {

using common::steady_clock;

constexpr std::size_t max_response_bytes = std::size_t{64} * 1024 * 1024;
constexpr char body_byte = 'b';
constexpr std::size_t chunk_size = std::size_t{16} * 1024;

web::header_list request_headers(const call_plan& plan, const std::string& id) {
    web::header_list headers{{control_api::id_header, id}, {"Connection", "close"}};
    const auto add = [&](const char* name, const std::string& value) { headers.push_back({name, value}); };
    if (!plan.host.empty()) {
        add("Host", plan.host);
    }
    if (plan.hold.count() > 0) {
        add(control_api::work_header, std::to_string(plan.hold.count()));
    }
    if (!plan.idempotency_key.empty()) {
        add("Idempotency-Key", plan.idempotency_key);
    }
    if (!plan.caller.empty()) {
        add(control_api::caller_header, plan.caller);
    }
    return headers;
}

/// Sends the body in chunks that are spread over `plan.body_over`.
bool send_body(web::client_connection& connection, const call_plan& plan, const std::stop_token& stop) {
    const std::size_t chunks = (plan.body_size + chunk_size - 1) / chunk_size;
    const std::string chunk(chunk_size, body_byte);
    std::size_t left = plan.body_size;
    for (std::size_t index = 0; index < chunks; ++index) {
        const std::size_t size = std::min(left, chunk.size());
        if (!connection.write(std::string_view(chunk).substr(0, size))) {
            return false;
        }
        left -= size;
        if (plan.body_over.count() > 0 &&
            !wait_for(stop, plan.body_over / static_cast<std::int64_t>(chunks))) {
            return false;
        }
    }
    return connection.finish_request().has_value();
}

/// Request target with the response size in the query, where the stand-in target reads it.
std::string request_target(const call_plan& plan) {
    if (plan.answer_size == 0) {
        return plan.path;
    }
    const char* separator = plan.path.find('?') == std::string::npos ? "?" : "&";
    return plan.path + separator + "bytes=" + std::to_string(plan.answer_size);
}

std::string digest_text(std::string_view body) {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(common::stable_hash(body)));
    return text.data();
}

std::string header_text(const web::header_list& headers, const char* name) {
    return std::string(web::find_header(headers, name).value_or(""));
}

void read_response(web::client_connection& connection, const call_plan& plan, call_result& result) {
    const auto deadline = steady_clock::now() + plan.patience;
    const auto head = connection.read_head(plan.patience);
    if (!head) {
        result.reason = to_string(head.error().kind);
        return;
    }
    const auto body = connection.read_all(max_response_bytes, deadline);
    if (!body) {
        result.reason = to_string(body.error().kind);
        return;
    }
    result.status = head->status;
    result.target = header_text(head->headers, control_api::target_header);
    result.returned_id = header_text(head->headers, control_api::id_header);
    const std::string sent = header_text(head->headers, control_api::body_digest_header);
    const std::string received = header_text(head->headers, control_api::received_digest_header);
    result.body_matches =
        (sent.empty() || plan.method == "HEAD" || sent == digest_text(*body)) &&
        (received.empty() || received == digest_text(std::string(plan.body_size, body_byte)));
    const std::string outcome = header_text(head->headers, control_api::outcome_header);
    if (outcome.empty()) {
        result.outcome = call_outcome::answered;
        return;
    }
    result.outcome = outcome == "not_run" ? call_outcome::not_run : call_outcome::unknown;
    result.reason = body->substr(0, 200);
}

} // namespace

call_result perform_call(const call_plan& plan, const common::endpoint& daemon, const std::string& id,
                         const std::stop_token& stop) {
    call_result result;
    result.id = id;
    result.method = plan.method;
    result.idempotency_key = plan.idempotency_key;
    result.sent = common::wall_now();
    const auto started = steady_clock::now();
    auto connection = web::client_connection::connect(daemon);
    if (!connection) {
        result.outcome = call_outcome::not_run;
        result.reason = "no connection to the daemon";
        return result;
    }
    const bool has_body = plan.method != "GET" && plan.method != "HEAD" && plan.method != "DELETE";
    const auto length = has_body ? std::optional<std::uint64_t>(plan.body_size) : std::nullopt;
    if (!connection->send_request(plan.method, request_target(plan), request_headers(plan, id), has_body,
                                  length)) {
        result.reason = "the request could not be sent";
        return result;
    }
    // A daemon that refuses a call may respond and close before it has read the whole body, so the response
    // is read even if sending failed.
    if (has_body && !send_body(*connection, plan, stop)) {
        result.reason = "the body could not be sent";
    }
    read_response(*connection, plan, result);
    result.duration = std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - started);
    return result;
}

std::string difference(const call_result& result, const call_expectation& expected) {
    const std::string seen = "got status " + std::to_string(result.status) + ", outcome " +
                             std::string(to_string(result.outcome)) + ", target '" + result.target + "'" +
                             (result.reason.empty() ? "" : ", reason: " + result.reason);
    if (expected.status && result.status != *expected.status) {
        return "expected status " + std::to_string(*expected.status) + ", " + seen;
    }
    if (!expected.outcome.empty() && expected.outcome != to_string(result.outcome)) {
        return "expected outcome " + expected.outcome + ", " + seen;
    }
    if (!expected.target.empty() && expected.target != result.target) {
        return "expected target '" + expected.target + "', " + seen;
    }
    if (result.outcome == call_outcome::answered && !result.body_matches) {
        return "a body does not match the digest that the target declared, " + seen;
    }
    return {};
}

} // namespace boragehollow::scenario
