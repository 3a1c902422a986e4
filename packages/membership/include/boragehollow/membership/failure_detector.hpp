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

/// Probes every member once in a random order, then shuffles again. This bounds the time until a given member
/// is probed, which independent random choices would not.
class probe_order {
public:
    /// `host` must not be present yet.
    void add(std::string_view host, common::random_source& random);
    void remove(std::string_view host);

    /// Returns an empty string when there are no members.
    std::string next(common::random_source& random);

    /// Returns up to `count` distinct random members other than `excluded`.
    std::vector<std::string> pick(std::size_t count, std::string_view excluded,
                                  common::random_source& random) const;

    const std::vector<std::string>& hosts() const { return m_hosts; }

private:
    std::vector<std::string> m_hosts;
    std::size_t m_position = 0;
};

/// A ping that waits for its ack. Indirect pings follow at `indirect_at`; the probe fails at `failed_at`.
struct probe {
    std::uint64_t sequence = 0;
    std::string host;
    common::steady_time indirect_at{};
    common::steady_time failed_at{};
    bool indirect_sent = false;
};

/// Probes that are not acknowledged yet.
class probe_tracker {
public:
    void add(probe value);
    /// Returns false when no such probe is outstanding.
    bool acknowledge(std::uint64_t sequence, std::string_view host);
    std::vector<probe> take_indirect_due(common::steady_time now);
    std::vector<probe> take_failed(common::steady_time now);
    common::steady_time next_due() const;
    void clear() { m_outstanding.clear(); }

private:
    std::vector<probe> m_outstanding;
};

/// Deadlines of the suspected members: when this daemon verifies a suspicion, pings the member again, or
/// declares it dead.
class suspicion_timers {
public:
    /// For a suspicion that another member raised: this daemon verifies it itself from `verify_at` on. Does
    /// nothing when the host is already suspected.
    void start_remote(const std::string& host, common::steady_time verify_at);
    /// For a suspicion that this daemon raised or verifies itself: it pings the host from `ping_at` on and
    /// declares it dead at `dead_at`.
    void start_local(const std::string& host, common::steady_time dead_at, common::steady_time ping_at);
    void cancel(const std::string& host) { m_suspicions.erase(host); }
    std::vector<std::string> take_verifications_due(common::steady_time now);
    std::vector<std::string> take_expired(common::steady_time now);
    std::vector<std::string> take_pings_due(common::steady_time now, std::chrono::milliseconds repeat);
    common::steady_time next_due() const;
    /// Lets no suspicion end before `at_least`. Used after this daemon itself was paused, because refutations
    /// may still be waiting in its socket.
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
