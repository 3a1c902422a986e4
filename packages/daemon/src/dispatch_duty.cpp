#include "boragehollow/daemon/dispatch_duty.hpp"

#include "boragehollow/daemon/target_views.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace boragehollow::daemon {

namespace {

struct service_configuration {
    const config::service_policy* policy = nullptr;
    std::vector<config::target_rule> rules;
    common::revision newest;
};

std::map<std::string, service_configuration> services_of(const config::config_snapshot& snapshot) {
    std::map<std::string, service_configuration> services;
    for (const auto& [key, stored] : snapshot.resources) {
        if (const auto* policy = std::get_if<config::service_policy>(&stored.value)) {
            services[policy->name].policy = policy;
            services[policy->name].newest = std::max(services[policy->name].newest, stored.changed_at);
        } else if (const auto* rule = std::get_if<config::target_rule>(&stored.value)) {
            services[rule->service].rules.push_back(*rule);
            services[rule->service].newest = std::max(services[rule->service].newest, stored.changed_at);
        }
    }
    return services;
}

} // namespace

dispatch_duty::dispatch_duty(const balancing::balancer_settings& settings, common::random_source random,
                             std::size_t ring_size)
    : m_balancer(settings, random), m_failure_domain(settings.failure_domain), m_ring(ring_size),
      m_thread("dispatch", [this](const std::stop_token&) { run(); }) {}

dispatch_duty::~dispatch_duty() {
    stop();
}

void dispatch_duty::stop() {
    m_ring.close();
    m_thread.join();
}

std::optional<selection_result> dispatch_duty::choose(balancing::attempt_request request,
                                                      common::steady_time deadline) {
    choose_target message{std::move(request), {}};
    const auto reply = message.reply;
    if (!m_ring.try_push(dispatch_message(std::move(message)))) {
        return std::nullopt;
    }
    return reply.wait_until(deadline);
}

void dispatch_duty::run() {
    while (auto message = m_ring.pop()) {
        const common::steady_time now = common::steady_clock::now();
        std::visit([&](auto& concrete) { handle(concrete, now); }, *message);
    }
}

void dispatch_duty::handle(choose_target& message, common::steady_time now) {
    const selection_result selected = m_balancer.choose(message.request, now);
    if (message.reply.set(selected) || !selected) {
        return;
    }
    m_balancer.record_result({selected->id, balancing::attempt_outcome::cancelled, {}, std::nullopt}, now);
}

void dispatch_duty::handle(const attempt_ended& message, common::steady_time now) {
    m_balancer.record_result(message.result, now);
}

void dispatch_duty::handle(const config_changed& message, common::steady_time now) {
    update_services(*message.snapshot, now);
}

void dispatch_duty::update_services(const config::config_snapshot& snapshot, common::steady_time now) {
    const auto services = services_of(snapshot);
    for (const auto& [name, service] : services) {
        if (service.policy == nullptr) {
            continue;
        }
        // Removing a rule does not produce a newer revision, so the number of rules is compared too.
        const bool same =
            m_service_revisions[name] == service.newest && m_rule_counts[name] == service.rules.size();
        if (same) {
            continue;
        }
        m_service_revisions[name] = service.newest;
        m_rule_counts[name] = service.rules.size();
        m_balancer.update_policy(*service.policy, service.rules, now);
    }
    for (const std::string& name : m_balancer.services()) {
        if (services.contains(name)) {
            continue;
        }
        m_service_revisions.erase(name);
        m_rule_counts.erase(name);
        m_balancer.remove_policy(name);
    }
}

void dispatch_duty::handle(const targets_changed& message, common::steady_time now) {
    const auto previous = std::exchange(m_directory, message.directory);
    for (const auto& [service, targets] : m_directory->services()) {
        if (previous) {
            const auto before = previous->services().find(service);
            if (before != previous->services().end() && before->second == targets) {
                continue;
            }
        }
        m_balancer.update_targets(service, target_views(*targets), now);
    }
    if (!previous) {
        return;
    }
    for (const auto& [service, targets] : previous->services()) {
        if (m_directory->services().contains(service)) {
            continue;
        }
        m_balancer.update_targets(service, {}, now);
    }
}

void dispatch_duty::handle(const query_dispatch& message, common::steady_time now) {
    std::vector<service_report> reports;
    for (const std::string& service : m_balancer.services()) {
        reports.push_back({service, m_balancer.counters(service), m_balancer.targets(service, now)});
    }
    message.reply.set(std::move(reports));
}

} // namespace boragehollow::daemon
