#pragma once

#include "boragehollow/common/random_source.hpp"
#include "boragehollow/common/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::membership {

/// Order in which members are probed: every member once in a random order, then a new order. This bounds the
/// time until a given member is probed, which independent random choices would not.
class probe_order {
public:
    /// `host` must not be listed yet.
    void add(std::string_view host, common::random_source& random);
    void remove(std::string_view host);

    /// Empty when there is no member.
    std::string next(common::random_source& random);

    /// Up to `count` different members other than `excluded`.
    std::vector<std::string> pick(std::size_t count, std::string_view excluded,
                                  common::random_source& random) const;

    const std::vector<std::string>& hosts() const { return m_hosts; }

private:
    std::vector<std::string> m_hosts;
    std::size_t m_position = 0;
};

struct probe {
    std::uint64_t sequence = 0;
    std::string host;
    common::steady_time indirect_at{};
    common::steady_time failed_at{};
    bool indirect_sent = false;
};

/// Probes without an answer so far.
class probe_tracker {
public:
    void started(probe value);
    /// Returns false when no such probe is open.
    bool answered(std::uint64_t sequence, std::string_view host);
    std::vector<probe> take_indirect_due(common::steady_time now);
    std::vector<probe> take_failed(common::steady_time now);
    common::steady_time next_due() const;
    void clear() { m_open.clear(); }

private:
    std::vector<probe> m_open;
};

/// Suspected members, and when each of them is verified or counts as dead.
class suspicion_timers {
public:
    /// Does nothing when the host is already suspected.
    void start_hearsay(const std::string& host, common::steady_time verify_at);
    /// For a daemon that makes sure itself: it pings the host from `ping_at` on until the host is dead.
    void start_own(const std::string& host, common::steady_time dead_at, common::steady_time ping_at);
    void cancel(const std::string& host) { m_suspicions.erase(host); }
    std::vector<std::string> take_hearsay(common::steady_time now);
    std::vector<std::string> take_dead(common::steady_time now);
    std::vector<std::string> take_pings(common::steady_time now, std::chrono::milliseconds repeat);
    common::steady_time next_due() const;
    /// Used after this daemon itself was paused: the refutations may still be waiting in its socket.
    void postpone(common::steady_time at_least);

private:
    struct suspicion {
        common::steady_time verify_at = common::steady_time::max();
        common::steady_time dead_at = common::steady_time::max();
        common::steady_time ping_at = common::steady_time::max();
    };

    std::map<std::string, suspicion> m_suspicions;
};

} // namespace boragehollow::membership
