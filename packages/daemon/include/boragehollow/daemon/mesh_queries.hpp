#pragma once

#include "boragehollow/common/shared_snapshot.hpp"
#include "boragehollow/daemon/mesh_view.hpp"
#include "boragehollow/daemon/operator_callbacks.hpp"
#include "boragehollow/peer/control_client.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <vector>

namespace boragehollow::daemon {

/// Mesh-wide queries of the operator frontend.
class mesh_queries {
public:
    using local_progress = std::function<std::optional<domain_progress>(common::revision)>;

    mesh_queries(peer::control_client& client, const common::shared_snapshot<mesh_view>& mesh,
                 std::chrono::milliseconds timeout);

    /// Queries all log readers of each failure domain and takes the reply that counts the most daemons at
    /// the version.
    mesh_progress progress(common::revision version) const;

    std::vector<host_timeline> timelines(std::optional<common::hybrid_time> since, std::size_t limit) const;

private:
    peer::control_client& m_client;
    const common::shared_snapshot<mesh_view>& m_mesh;
    std::chrono::milliseconds m_timeout;
};

} // namespace boragehollow::daemon
