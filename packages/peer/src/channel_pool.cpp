#include "boragehollow/peer/channel_pool.hpp"

#include <chrono>
#include <grpcpp/grpcpp.h>

namespace boragehollow::peer {

namespace {

/// A restarted daemon must be reachable again within the maximum backoff. gRPC's default backoff of 20 s to
/// 2 min is too slow.
constexpr std::chrono::milliseconds min_reconnect_backoff{100};
constexpr std::chrono::milliseconds max_reconnect_backoff{1'000};
constexpr std::chrono::milliseconds keepalive_time{10'000};
constexpr std::chrono::milliseconds keepalive_timeout{3'000};

grpc::ChannelArguments channel_arguments() {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, static_cast<int>(min_reconnect_backoff.count()));
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, static_cast<int>(min_reconnect_backoff.count()));
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, static_cast<int>(max_reconnect_backoff.count()));
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, static_cast<int>(keepalive_time.count()));
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, static_cast<int>(keepalive_timeout.count()));
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetServiceConfigJSON("{}");
    return arguments;
}

} // namespace

channel_pool::channel_pool(std::size_t capacity, std::shared_ptr<const link_filter> links)
    : m_capacity(capacity), m_links(std::move(links)) {}

channel_pool::~channel_pool() = default;

std::shared_ptr<grpc::Channel> channel_pool::channel(const common::endpoint& remote) {
    if (m_links->blocked(remote)) {
        return nullptr;
    }
    const std::lock_guard lock(m_mutex);
    const auto known = m_entries.find(remote);
    if (known != m_entries.end()) {
        m_recently_used.splice(m_recently_used.begin(), m_recently_used, known->second.position);
        return known->second.channel;
    }
    while (m_entries.size() >= m_capacity) {
        m_entries.erase(m_recently_used.back());
        m_recently_used.pop_back();
    }
    const std::string family = remote.address.find(':') == std::string::npos ? "ipv4:" : "ipv6:";
    auto created = grpc::CreateCustomChannel(family + common::to_string(remote),
                                             grpc::InsecureChannelCredentials(), channel_arguments());
    m_recently_used.push_front(remote);
    m_entries[remote] = {created, m_recently_used.begin()};
    return created;
}

std::shared_ptr<grpc::Channel> channel_pool::connected_channel(const common::endpoint& remote,
                                                               std::chrono::milliseconds timeout) {
    auto found = channel(remote);
    if (!found) {
        return nullptr;
    }
    grpc_connectivity_state state = found->GetState(true);
    if (state == GRPC_CHANNEL_READY) {
        return found;
    }
    const auto deadline = std::chrono::system_clock::now() + timeout;
    while (state != GRPC_CHANNEL_READY) {
        if (state == GRPC_CHANNEL_TRANSIENT_FAILURE || state == GRPC_CHANNEL_SHUTDOWN) {
            return nullptr;
        }
        if (!found->WaitForStateChange(state, deadline)) {
            return nullptr;
        }
        state = found->GetState(true);
    }
    return found;
}

} // namespace boragehollow::peer
