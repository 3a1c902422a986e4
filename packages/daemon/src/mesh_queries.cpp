#include "boragehollow/daemon/mesh_queries.hpp"

#include "boragehollow/common/reply_slot.hpp"
#include "boragehollow/daemon/timeline_codec.hpp"

#include <peer.pb.h>

#include <algorithm>

namespace boragehollow::daemon {

namespace {

/// Maximum number of daemons whose timelines are merged for one query.
constexpr std::size_t max_timeline_hosts = 256;

/// Time after the timeout of the requests in which their last callbacks may still run.
constexpr std::chrono::milliseconds reply_grace_period{100};

using progress_slot = common::reply_slot<std::optional<domain_progress>>;
using timeline_slot = common::reply_slot<std::optional<telemetry::timeline_page>>;

struct pending_progress {
    std::size_t domain = 0;
    progress_slot reply;
};

} // namespace

mesh_queries::mesh_queries(peer::control_client& client, const common::shared_snapshot<mesh_view>& mesh,
                           std::chrono::milliseconds timeout)
    : m_client(client), m_mesh(mesh), m_timeout(timeout) {}

mesh_progress mesh_queries::progress(common::revision version) const {
    mesh_progress result;
    result.version = version;
    const auto mesh = m_mesh.load();
    if (!mesh) {
        return result;
    }
    std::vector<pending_progress> pending_replies;
    for (const std::string& domain : mesh->failure_domains()) {
        const std::size_t index = result.domains.size();
        result.domains.push_back({domain, false, mesh->live_hosts(domain).size(), 0});
        for (const std::string& reader : mesh->readers(domain)) {
            pending_progress pending{index, {}};
            peer::v1::ProgressQuery query;
            query.set_version(version.value);
            m_client.progress(
                mesh->find(reader)->peer, std::move(query), m_timeout,
                [slot = pending.reply,
                 domain](tl::expected<peer::v1::ProgressReply, peer::control_error> reply) {
                    if (!reply) {
                        slot.set(std::nullopt);
                        return;
                    }
                    slot.set(domain_progress{domain, true, reply->members(), reply->at_or_past()});
                });
            pending_replies.push_back(std::move(pending));
        }
    }
    const common::steady_time deadline = common::steady_clock::now() + m_timeout + reply_grace_period;
    for (const pending_progress& pending : pending_replies) {
        const auto reply = pending.reply.wait_until(deadline);
        if (!reply || !*reply) {
            continue;
        }
        // A daemon that became a log reader recently may not have received all progress reports yet.
        domain_progress& domain = result.domains[pending.domain];
        if (!domain.replied || (*reply)->at_revision > domain.at_revision) {
            domain = **reply;
        }
    }
    return result;
}

std::vector<host_timeline> mesh_queries::timelines(std::optional<common::hybrid_time> since,
                                                   std::size_t limit) const {
    std::vector<host_timeline> result;
    const auto mesh = m_mesh.load();
    if (!mesh) {
        return result;
    }
    std::vector<timeline_slot> slots;
    for (const auto& [host, value] : mesh->hosts) {
        if (!mesh->reachable(*value)) {
            continue;
        }
        if (result.size() >= max_timeline_hosts) {
            break;
        }
        peer::v1::TimelineQuery query;
        query.set_limit(static_cast<std::uint32_t>(limit));
        if (since) {
            query.set_since_wall_us(static_cast<std::uint64_t>(since->wall.time_since_epoch().count()));
        }
        timeline_slot slot;
        m_client.timeline(value->peer, std::move(query), m_timeout,
                          [slot](tl::expected<peer::v1::TimelineReply, peer::control_error> reply) {
                              slot.set(reply ? std::optional(read_timeline(*reply)) : std::nullopt);
                          });
        slots.push_back(slot);
        result.push_back({host, false, {}});
    }
    const common::steady_time deadline = common::steady_clock::now() + m_timeout + reply_grace_period;
    for (std::size_t index = 0; index < slots.size(); ++index) {
        auto page = slots[index].wait_until(deadline);
        if (!page || !*page) {
            continue;
        }
        result[index].replied = true;
        result[index].page = std::move(**page);
    }
    return result;
}

} // namespace boragehollow::daemon
