#include "boragehollow/peer/link_filter.hpp"

namespace boragehollow::peer {

link_filter::link_filter() {
    m_blocked.store(std::make_shared<const endpoint_set>());
}

void link_filter::set_blocked(std::set<common::endpoint> blocked) {
    m_blocked.store(std::make_shared<const endpoint_set>(std::move(blocked)));
}

bool link_filter::blocked(const common::endpoint& remote) const {
    const std::shared_ptr<const endpoint_set> current = m_blocked.load();
    return !current->empty() && current->contains(remote);
}

} // namespace boragehollow::peer
