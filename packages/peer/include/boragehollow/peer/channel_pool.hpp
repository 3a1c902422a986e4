#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/time.hpp"
#include "boragehollow/peer/link_filter.hpp"

#include <chrono>
#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <mutex>

namespace grpc {
class Channel;
}

namespace boragehollow::peer {

/// LRU cache of open gRPC channels by endpoint. It is bounded because anti-entropy picks random peers, which
/// would otherwise leave a connection open to every daemon of the failure domain.
class channel_pool {
public:
    channel_pool(std::size_t capacity, std::shared_ptr<const link_filter> links);
    ~channel_pool();

    channel_pool(const channel_pool&) = delete;
    channel_pool& operator=(const channel_pool&) = delete;

    /// Null if fault injection blocks the endpoint.
    std::shared_ptr<grpc::Channel> channel(const common::endpoint& remote);

    /// Waits until the channel is connected. Null means that nothing was sent: the daemon is not listening,
    /// did not accept the connection within `timeout`, or fault injection blocks the endpoint.
    std::shared_ptr<grpc::Channel> connected_channel(const common::endpoint& remote,
                                                     std::chrono::milliseconds timeout);

private:
    struct entry {
        std::shared_ptr<grpc::Channel> channel;
        std::list<common::endpoint>::iterator position;
    };

    std::mutex m_mutex;
    std::size_t m_capacity;
    std::shared_ptr<const link_filter> m_links;
    std::map<common::endpoint, entry> m_entries;
    std::list<common::endpoint> m_recently_used; ///< Most recently used first.
};

} // namespace boragehollow::peer
