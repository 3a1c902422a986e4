#pragma once

#include "boragehollow/common/published.hpp"
#include "boragehollow/daemon/mesh_view.hpp"
#include "boragehollow/daemon/operator_callbacks.hpp"
#include "boragehollow/peer/control_client.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <vector>

namespace boragehollow::daemon {

/// Questions that the operators' front puts to the whole mesh.
class mesh_queries {
public:
    using local_progress = std::function<std::optional<domain_progress>(common::revision)>;

    mesh_queries(peer::control_client& client, const common::published<mesh_view>& mesh,
                 std::chrono::milliseconds timeout);

    /// Asks a log reader of each domain, and the second one if the first does not answer.
    mesh_progress progress(common::revision version) const;

    std::vector<host_timeline> timelines(std::optional<common::hybrid_time> since, std::size_t limit) const;

private:
    peer::control_client& m_client;
    const common::published<mesh_view>& m_mesh;
    std::chrono::milliseconds m_timeout;
};

} // namespace boragehollow::daemon
