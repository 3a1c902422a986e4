#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/published.hpp"

#include <set>

namespace boragehollow::peer {

/// Links that a test has cut. Every sender and receiver between daemons asks it, so that a partition can be
/// made without changing the host's network. Empty unless the settings allow fault injection.
class link_filter {
public:
    link_filter();

    void set_blocked(std::set<common::endpoint> blocked);
    bool blocked(const common::endpoint& remote) const;

private:
    using endpoint_set = std::set<common::endpoint>;

    common::published<endpoint_set> m_blocked;
};

} // namespace boragehollow::peer
