#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <variant>

namespace boragehollow::resources {

struct connection_limit_settings {
    std::size_t max_connections = 1;
    std::size_t max_per_address = 1;
};

/// Number of connections to accept so that `reserved` descriptors stay free for targets, other daemons,
/// operators and the store. At most half of the descriptors are reserved.
std::size_t acceptable_connections(std::size_t descriptors, std::size_t reserved);

struct connection_accepted {};

/// The address has as many connections as it may have; the new one is closed.
struct address_limit_reached {};

using connection_decision = std::variant<connection_accepted, address_limit_reached>;

/// Bounds the connections of one listener, in total and of each address. Not thread-safe.
class connection_limit {
public:
    explicit connection_limit(const connection_limit_settings& settings) : m_settings(settings) {}

    /// False while no further connection may be accepted.
    bool may_accept() const { return m_connections < m_settings.max_connections; }

    /// An accepted connection counts until `release`.
    connection_decision accept(const std::string& address);
    void release(const std::string& address);

    std::size_t connections() const { return m_connections; }

private:
    connection_limit_settings m_settings;
    std::map<std::string, std::size_t> m_by_address;
    std::size_t m_connections = 0;
};

} // namespace boragehollow::resources
