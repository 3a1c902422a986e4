#include "boragehollow/daemon/caller_response.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace boragehollow::daemon {

namespace {

std::string_view outcome_name(peer::call_outcome outcome) {
    return outcome == peer::call_outcome::not_run ? "not_run" : "unknown";
}

std::string retry_after_seconds(std::chrono::milliseconds duration) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(duration);
    return std::to_string(std::max<std::int64_t>(1, seconds.count()));
}

struct reason_status {
    std::string_view reason;
    int status;
};

constexpr reason_status reason_statuses[] = {
    {"bad_request", 400},     {"no_route", 404},       {"method_not_allowed", 405},
    {"duplicate_key", 409},   {"duplicate_call", 409}, {"body_too_large", 413},
    {"deadline_passed", 504}, {"timed_out", 504},      {"placement_lost", 409},
};

} // namespace

int status_of(const peer::call_failure& failure) {
    for (const reason_status& known : reason_statuses) {
        if (known.reason == failure.reason) {
            return known.status;
        }
    }
    constexpr int service_unavailable = 503;
    constexpr int bad_gateway = 502;
    return failure.outcome == peer::call_outcome::not_run ? service_unavailable : bad_gateway;
}

std::string failure_body(const peer::call_failure& failure) {
    const nlohmann::json body{
        {"outcome", outcome_name(failure.outcome)}, {"reason", failure.reason}, {"detail", failure.detail}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

bool caller_response::forward(const peer::call_reply_part& part, std::string_view served_by) {
    if (part.head) {
        web::header_list headers;
        headers.reserve(part.head->headers.size() + 2);
        for (const auto& [name, value] : part.head->headers) {
            headers.push_back({name, value});
        }
        headers.push_back({"boragehollow-served-by", std::string(served_by)});
        headers.push_back({"boragehollow-config-version", std::to_string(m_config_version.value)});
        m_started = true;
        m_status = part.head->status;
        if (!m_exchange.begin_response(part.head->status, headers, part.head->content_length, part.data)) {
            return false;
        }
    } else if (!m_exchange.write(part.data)) {
        return false;
    }
    return !part.end || m_exchange.finish_response();
}

void caller_response::fail(const peer::call_failure& failure) {
    m_started = true;
    m_status = status_of(failure);
    web::header_list headers{{"Content-Type", "application/json"},
                             {"boragehollow-outcome", std::string(outcome_name(failure.outcome))},
                             {"boragehollow-config-version", std::to_string(m_config_version.value)}};
    if (failure.retry_after.count() > 0) {
        headers.push_back({"Retry-After", retry_after_seconds(failure.retry_after)});
    }
    m_exchange.respond(m_status, headers, failure_body(failure));
}

} // namespace boragehollow::daemon
