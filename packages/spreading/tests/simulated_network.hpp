#pragma once

#include "boragehollow/spreading/spreading_engine.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace boragehollow::spreading {

/// Runs many engines with a simulated clock, network and platform log, and counts in each step the daemons
/// that go back to an older version.
class simulated_network {
public:
    struct node {
        std::string host;
        std::string domain;
        std::unique_ptr<spreading_engine> engine;
        /// Incremented by each start and stop; events of earlier generations are dropped.
        std::uint64_t generation = 0;
        bool alive = false;
        bool reading = false;
        bool reads_platform = true; ///< When false, the daemon cannot reach the platform.
        std::optional<steady_time> tick_at;
        revision applied;
        revision max_served_version;           ///< Over all generations of the host.
        std::optional<steady_time> applied_at; ///< When it first served the version of the last append.
    };

    struct statistics {
        std::uint64_t platform_reads = 0;
        std::uint64_t platform_snapshots = 0;
        std::uint64_t snapshot_replies = 0;
        std::uint64_t bytes = 0;
        std::uint64_t push_bytes = 0;
        std::uint64_t consistency_violations = 0;
        std::size_t max_concurrent_transfers = 0;
    };

    simulated_network(std::size_t domains, std::size_t per_domain, std::uint64_t seed);

    void start(std::size_t index);
    void stop(std::size_t index);
    /// Informs every live daemon of the live members; until this call they keep their previous view.
    void update_views();
    void run_for(milliseconds span);
    revision append(std::size_t bytes);

    std::size_t count(const std::function<bool(const node&)>& wanted) const;
    bool converged() const;
    /// Returns the time from the last append until the last live daemon served it.
    std::optional<milliseconds> convergence() const;

    std::vector<node> nodes;
    statistics stats;
    bool platform_up = true;
    /// Domains that can reach neither other domains nor the platform.
    std::set<std::string> partitioned_domains;
    revision first_retained{1};
    std::optional<encoded_snapshot> platform_snapshot;
    std::size_t snapshot_size = 200'000;
    double loss = 0.0;

    static std::uint64_t digest_of(revision version) { return version.value * 2 + 1; }

private:
    using action = std::function<void()>;
    struct event {
        steady_time time;
        std::uint64_t order = 0;
        action run;
        bool operator<(const event& other) const {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    void run_after(milliseconds delay, action run);
    void schedule_tick(std::size_t index);
    void perform(std::size_t index, effects list);
    bool reachable(const node& from, const node& to);
    void send(std::size_t from, const std::string& to, std::size_t bytes,
              std::function<void(std::size_t)> receive, const action& lost);
    void perform_pull(std::size_t index, const pull& request);
    void apply(std::size_t index, revision version);
    bool platform_reachable(const node& reader) const;
    void read_platform(std::size_t index, revision position);
    void read_snapshot(std::size_t index);
    peer_view view_of(const node& self, const std::map<std::string, std::vector<std::string>>& live) const;

    steady_time m_now{std::chrono::hours(1)};
    common::random_source m_random;
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
    std::map<std::string, std::size_t> m_by_host;
    std::vector<log_record> m_log;
    steady_time m_last_append;
    std::uint64_t m_next_ticket = 0;
    std::map<std::size_t, std::size_t> m_transfers;
};

} // namespace boragehollow::spreading
