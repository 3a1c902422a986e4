#include "boragehollow/rollout/gate.hpp"

#include <algorithm>
#include <bit>

namespace boragehollow::rollout {

namespace {

/// Time for the coordinator's verdict. Without one the failures were not those of the version.
constexpr milliseconds pause_when_bad{1'000};

constexpr std::uint32_t recent_responses = 20;
constexpr std::uint32_t recent_mask = (1U << recent_responses) - 1;

/// Bounds the table where a service has very many routes; further ones are counted together.
constexpr std::size_t max_routes = 64;
const std::string other_routes = "*";

} // namespace

void gate::set_target(std::string service, std::string version, std::string host) {
    m_host = std::move(host);
    if (service == m_service && version == m_version) {
        return;
    }
    if (service != m_service) {
        m_plan.reset();
    }
    m_service = std::move(service);
    m_version = std::move(version);
    m_admitted = 0;
    m_routes.clear();
    m_recent = 0;
    m_recent_bad = 0;
    m_paused_until.reset();
}

void gate::set_plan(const plan& current, steady_time now) {
    if (current.service != m_service) {
        return;
    }
    const bool another_order = !m_plan || m_plan->position.order_offset != current.position.order_offset;
    if (another_order) {
        m_admitted = 0;
        m_routes.clear();
        m_recent = 0;
        m_recent_bad = 0;
        m_paused_until.reset();
    }
    m_plan = current;
    m_confirmed = now;
}

void gate::remove_plan(const std::string& service) {
    if (m_plan && m_plan->service == service) {
        m_plan.reset();
    }
}

bool gate::mostly_bad() const {
    return m_recent >= recent_responses &&
           2U * static_cast<std::uint32_t>(std::popcount(m_recent_bad)) > recent_responses;
}

bool gate::open(steady_time now) const {
    if (!m_plan) {
        return true;
    }
    const version_use use = use_of(*m_plan, m_version);
    if (use == version_use::unused) {
        return false;
    }
    const stage current = m_plan->position.current;
    // From `completing` on no other version takes calls: a partition, or failures that have nothing to do
    // with the version, would end the service.
    const bool only_version = current == stage::completing || current == stage::completed;
    if (m_version != m_plan->version || only_version) {
        return true;
    }
    const bool paused = m_paused_until && now < *m_paused_until;
    if (now - m_confirmed > m_max_unconfirmed || paused || (mostly_bad() && !m_paused_until)) {
        return false;
    }
    if (use == version_use::in_use) {
        return true;
    }
    const auto allowance = m_plan->allowances.find(m_host);
    return allowance != m_plan->allowances.end() && m_admitted < allowance->second;
}

bool gate::admit(steady_time now) {
    if (m_paused_until && now >= *m_paused_until) {
        m_paused_until.reset();
        m_recent = 0;
        m_recent_bad = 0;
    }
    if (mostly_bad() && !m_paused_until) {
        m_paused_until = now + pause_when_bad;
    }
    if (!open(now)) {
        return false;
    }
    ++m_running;
    m_admitted += m_plan ? 1 : 0;
    return true;
}

void gate::finish(const std::string& route, call_outcome outcome, std::chrono::microseconds latency) {
    m_running -= std::min<std::uint64_t>(m_running, 1);
    if (!m_plan || outcome == call_outcome::inconclusive) {
        return;
    }
    if (outcome == call_outcome::not_run) {
        m_admitted -= std::min<std::uint64_t>(m_admitted, 1);
        return;
    }
    const bool failed = outcome == call_outcome::failed;
    m_recent_bad = ((m_recent_bad << 1U) | (failed ? 1U : 0U)) & recent_mask;
    m_recent = std::min(recent_responses, m_recent + 1);
    const bool known = m_routes.contains(route) || m_routes.size() < max_routes;
    route_counts& counts = m_routes[known ? route : other_routes];
    if (failed) {
        ++counts.failures;
        return;
    }
    ++counts.latencies[latency_bucket(latency)];
}

std::optional<report> gate::make_report() const {
    if (!m_plan) {
        return std::nullopt;
    }
    report result;
    result.service = m_service;
    result.host = m_host;
    result.version = m_version;
    result.process = m_process;
    result.known = m_plan->position;
    result.admitted = m_admitted;
    result.running = m_running;
    result.routes = m_routes;
    return result;
}

} // namespace boragehollow::rollout
