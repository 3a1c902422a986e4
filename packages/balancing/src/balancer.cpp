#include "boragehollow/balancing/balancer.hpp"

#include "boragehollow/balancing/service_balancer.hpp"

#include <utility>

namespace boragehollow::balancing {

balancer::balancer(balancer_settings settings, common::random_source random)
    : m_settings(std::move(settings)), m_random(random) {}

balancer::balancer(balancer&&) noexcept = default;
balancer& balancer::operator=(balancer&&) noexcept = default;
balancer::~balancer() = default;

void balancer::update_policy(const config::service_policy& policy,
                             const std::vector<config::target_rule>& rules, steady_time now) {
    service_state& state = m_services[policy.name];
    prepare(policy.name, state);
    state.has_policy = true;
    state.balancing->set_policy(policy, rules, now);
}

void balancer::remove_policy(const std::string& service) {
    const auto found = m_services.find(service);
    if (found != m_services.end()) {
        found->second.has_policy = false;
    }
}

void balancer::update_targets(const std::string& service, const std::vector<target_view>& targets,
                              steady_time now) {
    if (targets.empty() && !m_services.contains(service)) {
        return;
    }
    service_state& state = m_services[service];
    prepare(service, state);
    state.balancing->set_targets(targets, now);
    if (targets.empty() && !state.has_policy) {
        m_services.erase(service);
    }
}

void balancer::prepare(const std::string& service, service_state& state) {
    if (state.balancing) {
        return;
    }
    state.balancing = std::make_unique<service_balancer>(m_settings.failure_domain, m_settings.key_window,
                                                         m_settings.version_hold);
    const auto rule = m_version_rules.find(service);
    if (rule != m_version_rules.end()) {
        state.balancing->set_version_rule(rule->second);
    }
}

void balancer::set_version_rule(const std::string& service, std::optional<version_rule> rule) {
    const auto found = m_services.find(service);
    if (found != m_services.end() && found->second.balancing) {
        found->second.balancing->set_version_rule(rule);
    }
    if (!rule) {
        m_version_rules.erase(service);
        return;
    }
    m_version_rules[service] = std::move(*rule);
}

bool balancer::has_version_rule(const std::string& service) const {
    return m_version_rules.contains(service);
}

tl::expected<attempt_target, selection_error> balancer::choose(const attempt_request& request,
                                                               steady_time now) {
    const auto found = m_services.find(request.service);
    if (found == m_services.end() || !found->second.has_policy) {
        return tl::unexpected(selection_error{selection_error_reason::unknown_service});
    }
    if (m_attempts.size() >= m_settings.max_outstanding) {
        return tl::unexpected(selection_error{selection_error_reason::too_many_outstanding});
    }
    const auto chosen = found->second.balancing->choose(request, m_random, now);
    if (!chosen) {
        return tl::unexpected(selection_error{chosen.error()});
    }
    const attempt_id id{m_next_attempt++};
    m_attempts.emplace(id.value, attempt_record{request.service, chosen->host, request.work, chosen->trial});
    return attempt_target{id, chosen->host, chosen->peer, chosen->backoff, chosen->hedge_delay};
}

void balancer::record_result(const attempt_result& result, steady_time now) {
    const auto found = m_attempts.find(result.id.value);
    if (found == m_attempts.end()) {
        return;
    }
    const attempt_record attempt = std::move(found->second);
    m_attempts.erase(found);
    const auto service = m_services.find(attempt.service);
    if (service != m_services.end()) {
        service->second.balancing->record_result(attempt.host, attempt.work, attempt.trial, result, now);
    }
}

std::vector<std::string> balancer::services() const {
    std::vector<std::string> names;
    for (const auto& [name, state] : m_services) {
        if (state.has_policy) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<target_status> balancer::targets(const std::string& service, steady_time now) const {
    const auto found = m_services.find(service);
    return found == m_services.end() ? std::vector<target_status>{} : found->second.balancing->status(now);
}

service_counters balancer::counters(const std::string& service) const {
    const auto found = m_services.find(service);
    return found == m_services.end() ? service_counters{} : found->second.balancing->counters();
}

} // namespace boragehollow::balancing
