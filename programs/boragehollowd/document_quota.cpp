#include "document_quota.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace boragehollow::daemon {

namespace {

quota::daemon_state quota_state(const mesh_view& mesh, const membership::member& member) {
    if (mesh.reachable(member)) {
        return quota::daemon_state::alive;
    }
    return member.state == membership::member_state::left ? quota::daemon_state::left
                                                          : quota::daemon_state::dead;
}

} // namespace

void update_quota_members(document_pipeline::components& daemon, const mesh_view& mesh) {
    const membership::member* self = mesh.find(mesh.own_host);
    if (!mesh.complete || self == nullptr) {
        return;
    }
    // Counters of a process are the low 16 bits of an incarnation.
    constexpr unsigned process_shift = 16;
    std::uint32_t fastest = 0;
    for (const auto& [host, member] : mesh.hosts) {
        fastest = std::max(fastest, mesh.reachable(*member) ? member->link_megabits : 0);
    }
    forwarding::quota_members message;
    message.own_process = self->incarnation >> process_shift;
    std::vector<quota::observed_daemon> observed;
    for (const auto& [host, member] : mesh.hosts) {
        observed.push_back({host, quota_state(mesh, *member)});
        if (!mesh.reachable(*member)) {
            continue;
        }
        message.members.live.push_back(
            {host, member->incarnation >> process_shift, 2 * member->link_megabits >= fastest});
        message.peers.emplace(host, member->peer);
    }
    message.members.known =
        daemon.known_daemons.observe(observed, daemon.registered_daemons, common::steady_clock::now());
    if (message != daemon.quota_members && daemon.forwarder->post(message)) {
        daemon.quota_members = std::move(message);
    }
}

} // namespace boragehollow::daemon
