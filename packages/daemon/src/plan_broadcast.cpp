#include "boragehollow/daemon/plan_broadcast.hpp"

#include <algorithm>
#include <chrono>

namespace boragehollow::daemon {

namespace {

/// A daemon that does not reply may be cut off; its own report gets the plan when it is back.
constexpr std::chrono::milliseconds retry_interval{900};

} // namespace

bool plan_broadcast::wanted(const mesh_view& mesh, const membership::member& member) const {
    return member.host != mesh.own_host && mesh.reachable(member);
}

void plan_broadcast::send_due(const mesh_view& mesh, common::steady_time now, const sender& send) {
    if (m_revision == 0) {
        return;
    }
    for (const auto& [host, member] : mesh.hosts) {
        if (!wanted(mesh, *member)) {
            continue;
        }
        delivery& state = m_hosts[host];
        const bool repeated = state.sent == m_revision && now < state.next_try;
        if (state.delivered == m_revision || repeated) {
            continue;
        }
        state.sent = m_revision;
        state.next_try = now + retry_interval;
        send(host, member->peer);
    }
}

void plan_broadcast::record_delivery(const std::string& host, std::uint64_t revision, bool delivered) {
    if (delivered) {
        delivery& state = m_hosts[host];
        state.delivered = std::max(state.delivered, revision);
    }
}

bool plan_broadcast::complete(const mesh_view& mesh) const {
    return std::ranges::all_of(mesh.hosts, [&](const auto& entry) {
        const auto state = m_hosts.find(entry.first);
        const bool has_it = state != m_hosts.end() && state->second.delivered == m_revision;
        return has_it || !wanted(mesh, *entry.second);
    });
}

} // namespace boragehollow::daemon
