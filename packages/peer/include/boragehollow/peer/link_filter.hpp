#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/shared_snapshot.hpp"

#include <set>

namespace boragehollow::peer {

/// Endpoints that a test has blocked. All senders and receivers between daemons check it, so that a test can
/// simulate a network partition without changing the host's network. Empty unless the settings allow fault
/// injection.
class link_filter {
public:
    link_filter();

    /// Replaces the set of blocked endpoints.
    void set_blocked(std::set<common::endpoint> blocked);
    bool blocked(const common::endpoint& remote) const;

private:
    using endpoint_set = std::set<common::endpoint>;

    common::shared_snapshot<endpoint_set> m_blocked;
};

} // namespace boragehollow::peer
