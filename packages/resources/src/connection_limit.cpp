#include "boragehollow/resources/connection_limit.hpp"

#include <algorithm>

namespace boragehollow::resources {

std::size_t acceptable_connections(std::size_t descriptors, std::size_t reserved) {
    return std::max<std::size_t>(1, descriptors - std::min(reserved, descriptors / 2));
}

connection_decision connection_limit::accept(const std::string& address) {
    std::size_t& of_address = m_by_address[address];
    if (of_address >= m_settings.max_per_address) {
        return address_limit_reached{};
    }
    ++of_address;
    ++m_connections;
    return connection_accepted{};
}

void connection_limit::release(const std::string& address) {
    const auto found = m_by_address.find(address);
    if (found == m_by_address.end()) {
        return;
    }
    --m_connections;
    if (--found->second == 0) {
        m_by_address.erase(found);
    }
}

} // namespace boragehollow::resources
