#pragma once

#include "boragehollow/balancing/attempt.hpp"

#include <tl/expected.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::balancing {

/// Maps each idempotency key to the one target that may run its calls, by rendezvous hashing.
///
/// For the length of the key window, a retry with the same key must reach the target that ran it or be
/// refused. Hence a target is assigned keys only after it has been known for one window; a lost target keeps
/// its keys for one window, during which they are refused; and keys that move to a target joining an
/// established set are refused for one more window, since another target may have run them.
class keyed_placement {
public:
    struct candidate {
        std::string host;
        steady_time first_seen;
        std::optional<steady_time> lost_since;
        bool eligible = true; ///< Matches the target rules.
    };

    explicit keyed_placement(milliseconds window) : m_window(window) {}

    void update(const std::vector<candidate>& candidates, steady_time now);

    tl::expected<std::string, selection_error_reason> place(std::string_view key, steady_time now) const;

private:
    struct entry {
        steady_time first_seen;
        steady_time active_from; ///< Keys are not assigned to the target before this time.
        std::optional<steady_time> lost_at;
        bool usable = false; ///< Present and eligible.
        bool listed = false; ///< Among the candidates of the last update.
    };

    void update_entry(entry& known_target, const candidate& seen, steady_time now);
    void mark_lost(entry& known_target, steady_time at) const;
    void remove_expired(steady_time now);
    /// Updates `m_established_at` while no target holds keys or was recently lost.
    void update_established(steady_time now);
    /// Known for a full window, so that keys are assigned to it.
    bool settled(const entry& known_target, steady_time now) const;
    /// Lost within the last window, so that its keys are refused.
    bool recently_lost(const entry& known_target, steady_time now) const;

    milliseconds m_window;
    std::map<std::string, entry, std::less<>> m_entries;
    steady_time m_established_at = steady_time::max(); ///< When the first target of the set became active.
};

} // namespace boragehollow::balancing
