#include "boragehollow/cli/change_submission.hpp"

#include "boragehollow/codec/change_json.hpp"
#include "boragehollow/common/overloaded.hpp"

#include <algorithm>
#include <array>

namespace boragehollow::cli {

namespace {

constexpr std::chrono::milliseconds max_backoff{2'000};

std::string text_field(const codec::json& body, const char* name) {
    if (!body.is_object() || !body.contains(name) || !body.at(name).is_string()) {
        return {};
    }
    return body.at(name).get<std::string>();
}

/// The outcome that the body states, or an empty text.
std::string stated_outcome(const http_response& response) {
    const auto body = codec::parse_json(response.body);
    return body ? text_field(*body, "outcome") : std::string();
}

/// The daemon or its HTTP library refused the form of the request, which stays the same when it is sent
/// again.
bool is_final_refusal(const http_response& response) {
    constexpr std::array<int, 2> temporary{408, 429};
    return response.status >= 400 && response.status < 500 &&
           std::ranges::find(temporary, response.status) == temporary.end() &&
           stated_outcome(response) != "unknown";
}

} // namespace

std::string error_detail(const http_response& response) {
    const auto body = codec::parse_json(response.body);
    std::string text = "status " + std::to_string(response.status);
    if (!body) {
        return text;
    }
    for (const char* name : {"reason", "detail"}) {
        const std::string part = text_field(*body, name);
        text += part.empty() ? "" : ": " + part;
    }
    if (!body->is_object() || !body->contains("faults") || !body->at("faults").is_array()) {
        return text;
    }
    for (const codec::json& fault : body->at("faults")) {
        text += "\n  " + text_field(fault, "field") + ": " + text_field(fault, "detail");
    }
    return text;
}

submission_step change_submission::next(const tl::expected<http_response, transport_error>& attempt,
                                        common::steady_time now) {
    if (attempt) {
        return on_response(*attempt, now);
    }
    return std::visit(common::overloaded{
                          [this, now](const not_connected& fault) { return retry(fault.detail, now); },
                          [this, now](const no_answer& fault) {
                              m_may_have_run = true;
                              return retry(fault.detail, now);
                          },
                      },
                      attempt.error());
}

submission_step change_submission::on_response(const http_response& response, common::steady_time now) {
    if (response.status == 200 || response.status == 409) {
        const auto body = codec::parse_json(response.body);
        auto outcome = body ? codec::from_json<config::change_outcome>(*body)
                            : tl::unexpected(codec::json_faults{body.error()});
        if (outcome && outcome->change_id == m_change_id) {
            return on_outcome(*std::move(outcome), now);
        }
        m_may_have_run = true;
        return retry("the answer is not the outcome of this change", now);
    }
    if (is_final_refusal(response)) {
        const exit_code code = m_may_have_run ? exit_code::outcome_unknown : exit_code::failed;
        return submission_end{code, {}, error_detail(response)};
    }
    m_may_have_run = m_may_have_run || stated_outcome(response) != "not_run";
    return retry(error_detail(response), now);
}

submission_step change_submission::on_outcome(config::change_outcome outcome, common::steady_time now) {
    const auto* reason = std::get_if<config::rejected>(&outcome.result);
    if (reason == nullptr) {
        return submission_end{exit_code::done, std::move(outcome), {}};
    }
    if (reason->reason != config::rejection_reason::duplicate) {
        return submission_end{exit_code::rejected, std::move(outcome), {}};
    }
    // A record with this id was decided before; that verdict counts.
    m_may_have_run = true;
    if (!m_is_known) {
        m_is_known = true;
        return look_up{};
    }
    return retry("the daemon does not tell the first verdict of this change", now);
}

submission_step change_submission::retry(std::string detail, common::steady_time now) {
    if (now + m_backoff >= m_deadline) {
        const exit_code code = m_may_have_run ? exit_code::outcome_unknown : exit_code::not_reachable;
        return submission_end{code, {}, std::move(detail)};
    }
    const std::chrono::milliseconds delay = m_backoff;
    m_backoff = std::min(2 * m_backoff, max_backoff);
    if (m_is_known) {
        return look_up{delay};
    }
    return resend{delay};
}

} // namespace boragehollow::cli
