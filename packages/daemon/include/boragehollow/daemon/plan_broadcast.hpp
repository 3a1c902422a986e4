#pragma once

#include "boragehollow/common/time.hpp"
#include "boragehollow/daemon/mesh_view.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace boragehollow::daemon {

/// Tracks which daemons have the current plan of one service. Sends it again where the delivery failed, and
/// to daemons that join. Owned by one thread.
class plan_broadcast {
public:
    using sender = std::function<void(const std::string& host, const common::endpoint& peer)>;

    void start(std::uint64_t revision) { m_revision = revision; }
    std::uint64_t revision() const { return m_revision; }

    /// Calls `send` for each daemon that needs the plan.
    void send_due(const mesh_view& mesh, common::steady_time now, const sender& send);
    void record_delivery(const std::string& host, std::uint64_t revision, bool delivered);

    /// Whether each reachable daemon has the plan.
    bool complete(const mesh_view& mesh) const;

private:
    struct delivery {
        std::uint64_t delivered = 0;
        std::uint64_t sent = 0;
        common::steady_time next_try{};
    };

    bool wanted(const mesh_view& mesh, const membership::member& member) const;

    std::uint64_t m_revision = 0;
    std::map<std::string, delivery> m_hosts;
};

} // namespace boragehollow::daemon
