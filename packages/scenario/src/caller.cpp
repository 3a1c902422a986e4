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

constexpr std::size_t largest_answer = std::size_t{64} * 1024 * 1024;
constexpr std::size_t chunk_size = std::size_t{16} * 1024;

web::header_list request_headers(const call_plan& plan, const std::string& id) {
    web::header_list headers{{control_api::id_header, id}, {"Connection", "close"}};
    const auto add = [&](const char* name, const std::string& value) { headers.push_back({name, value}); };
    if (!plan.host.empty()) {
        add("Host", plan.host);
    }
    if (plan.hold.count() > 0) {
        add(control_api::hold_header, std::to_string(plan.hold.count()));
    }
    if (plan.answer_size > 0) {
        add(control_api::answer_size_header, std::to_string(plan.answer_size));
    }
    if (!plan.idempotency_key.empty()) {
        add("Idempotency-Key", plan.idempotency_key);
    }
    if (!plan.caller.empty()) {
        add(control_api::caller_header, plan.caller);
    }
    return headers;
}

/// Sends the body in chunks that are spread over the planned time.
bool send_body(web::client_connection& connection, const call_plan& plan, const std::stop_token& stop) {
    const std::size_t chunks = (plan.body_size + chunk_size - 1) / chunk_size;
    const std::string chunk(chunk_size, 'b');
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

std::string digest_text(std::string_view body) {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(common::stable_hash(body)));
    return text.data();
}

std::string header_text(const web::header_list& headers, const char* name) {
    return std::string(web::find_header(headers, name).value_or(""));
}

void read_answer(web::client_connection& connection, const call_plan& plan, call_answer& answer) {
    const auto deadline = steady_clock::now() + plan.patience;
    const auto head = connection.read_head(plan.patience);
    if (!head) {
        answer.reason = to_string(head.error().kind);
        return;
    }
    const auto body = connection.read_all(largest_answer, deadline);
    if (!body) {
        answer.reason = to_string(body.error().kind);
        return;
    }
    answer.status = head->status;
    answer.target = header_text(head->headers, control_api::target_header);
    answer.returned_id = header_text(head->headers, control_api::id_header);
    const std::string digest = header_text(head->headers, control_api::digest_header);
    answer.body_matches = digest.empty() || plan.method == "HEAD" || digest == digest_text(*body);
    const std::string outcome = header_text(head->headers, control_api::outcome_header);
    if (outcome.empty()) {
        answer.outcome = call_outcome::answered;
        return;
    }
    answer.outcome = outcome == "not_run" ? call_outcome::not_run : call_outcome::unknown;
    answer.reason = body->substr(0, 200);
}

} // namespace

call_answer perform_call(const call_plan& plan, const common::endpoint& daemon, const std::string& id,
                         const std::stop_token& stop) {
    call_answer answer;
    answer.id = id;
    answer.method = plan.method;
    answer.idempotency_key = plan.idempotency_key;
    answer.sent = common::wall_now();
    const auto started = steady_clock::now();
    auto connection = web::client_connection::connect(daemon);
    if (!connection) {
        answer.outcome = call_outcome::not_run;
        answer.reason = "no connection to the daemon";
        return answer;
    }
    const bool has_body = plan.method != "GET" && plan.method != "HEAD" && plan.method != "DELETE";
    const auto length = has_body ? std::optional<std::uint64_t>(plan.body_size) : std::nullopt;
    if (!connection->send_request(plan.method, plan.path, request_headers(plan, id), has_body, length)) {
        answer.reason = "the request could not be sent";
        return answer;
    }
    // A daemon that refuses a call may answer and close before it has read the whole body.
    if (has_body && !send_body(*connection, plan, stop)) {
        answer.reason = "the body could not be sent";
    }
    read_answer(*connection, plan, answer);
    answer.took = std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - started);
    return answer;
}

std::string difference(const call_answer& answer, const call_expectation& expected) {
    const std::string seen = "got status " + std::to_string(answer.status) + ", outcome " +
                             std::string(to_string(answer.outcome)) + ", target '" + answer.target + "'" +
                             (answer.reason.empty() ? "" : ", reason: " + answer.reason);
    if (expected.status && answer.status != *expected.status) {
        return "expected status " + std::to_string(*expected.status) + ", " + seen;
    }
    if (!expected.outcome.empty() && expected.outcome != to_string(answer.outcome)) {
        return "expected outcome " + expected.outcome + ", " + seen;
    }
    if (!expected.target.empty() && expected.target != answer.target) {
        return "expected target '" + expected.target + "', " + seen;
    }
    if (answer.outcome == call_outcome::answered && !answer.body_matches) {
        return "the body does not have the digest that the target declared, " + seen;
    }
    return {};
}

} // namespace boragehollow::scenario
