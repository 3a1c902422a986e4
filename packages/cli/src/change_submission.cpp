#include "boragehollow/cli/change_submission.hpp"

#include "boragehollow/codec/change_json.hpp"
#include "boragehollow/common/overloaded.hpp"

#include <algorithm>
#include <array>

namespace boragehollow::cli {

namespace {

constexpr std::chrono::milliseconds max_backoff{2'000};

std::string string_field(const codec::json& body, const char* name) {
    if (!body.is_object() || !body.contains(name) || !body.at(name).is_string()) {
        return {};
    }
    return body.at(name).get<std::string>();
}

/// Field `outcome` of the body; empty when it is missing.
std::string reported_outcome(const http_response& response) {
    const auto body = codec::parse_json(response.body);
    return body ? string_field(*body, "outcome") : std::string();
}

/// True when the daemon or its HTTP library refused the request itself, so that a retry would be refused
/// again.
bool is_final_refusal(const http_response& response) {
    constexpr std::array<int, 2> temporary{408, 429};
    return response.status >= 400 && response.status < 500 &&
           std::ranges::find(temporary, response.status) == temporary.end() &&
           reported_outcome(response) != "unknown";
}

} // namespace

std::string error_detail(const http_response& response) {
    const auto body = codec::parse_json(response.body);
    std::string text = "status " + std::to_string(response.status);
    if (!body) {
        return text;
    }
    for (const char* name : {"reason", "detail"}) {
        const std::string part = string_field(*body, name);
        text += part.empty() ? "" : ": " + part;
    }
    if (!body->is_object() || !body->contains("faults") || !body->at("faults").is_array()) {
        return text;
    }
    for (const codec::json& error : body->at("faults")) {
        text += "\n  " + string_field(error, "field") + ": " + string_field(error, "detail");
    }
    return text;
}

submission_step change_submission::next(const tl::expected<http_response, transport_error>& attempt,
                                        common::steady_time now) {
    if (attempt) {
        return on_response(*attempt, now);
    }
    return std::visit(common::overloaded{
                          [this, now](const not_connected& error) { return retry(error.detail, now); },
                          [this, now](const response_lost& error) {
                              m_may_have_run = true;
                              return retry(error.detail, now);
                          },
                      },
                      attempt.error());
}

submission_step change_submission::on_response(const http_response& response, common::steady_time now) {
    if (response.status == 200 || response.status == 409) {
        const auto body = codec::parse_json(response.body);
        auto outcome = body ? codec::from_json<config::change_outcome>(*body)
                            : tl::unexpected(codec::json_errors{body.error()});
        if (outcome && outcome->change_id == m_change_id) {
            return on_outcome(*std::move(outcome), now);
        }
        m_may_have_run = true;
        return retry("the response is not the outcome of this change", now);
    }
    if (is_final_refusal(response)) {
        const exit_code code = m_may_have_run ? exit_code::outcome_unknown : exit_code::failed;
        return submission_result{code, {}, error_detail(response)};
    }
    m_may_have_run = m_may_have_run || reported_outcome(response) != "not_run";
    return retry(error_detail(response), now);
}

submission_step change_submission::on_outcome(config::change_outcome outcome, common::steady_time now) {
    const auto* reason = std::get_if<config::rejected>(&outcome.result);
    if (reason == nullptr) {
        return submission_result{exit_code::done, std::move(outcome), {}};
    }
    if (reason->reason != config::rejection_reason::duplicate) {
        return submission_result{exit_code::rejected, std::move(outcome), {}};
    }
    // A record with this id was decided before; that outcome is the result.
    m_may_have_run = true;
    if (!m_is_decided) {
        m_is_decided = true;
        return query_outcome{};
    }
    return retry("the daemon does not report the first outcome of this change", now);
}

submission_step change_submission::retry(std::string detail, common::steady_time now) {
    if (now + m_backoff >= m_deadline) {
        const exit_code code = m_may_have_run ? exit_code::outcome_unknown : exit_code::not_reachable;
        return submission_result{code, {}, std::move(detail)};
    }
    const std::chrono::milliseconds delay = m_backoff;
    m_backoff = std::min(2 * m_backoff, max_backoff);
    if (m_is_decided) {
        return query_outcome{delay};
    }
    return send_change{delay};
}

} // namespace boragehollow::cli
