#pragma once

#include "boragehollow/balancing/attempt.hpp"

#include <tl/expected.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::balancing {

/// Chooses the one target that may run the calls of an idempotency key, by rendezvous hash.
///
/// A repeat of a key must reach the target that ran it, or be refused, for the length of the key window.
/// Hence a target takes part only after it has been known for one window; a lost one keeps its keys for one
/// window, in which they are refused; and a target that joins an established set refuses the keys that
/// move to it for one more window, since another target may have run them.
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
        steady_time takes_part_from;
        std::optional<steady_time> lost_at;
        bool usable = false; ///< Present and eligible.
        bool listed = false;
    };

    void update_entry(entry& known, const candidate& seen, steady_time now);
    void mark_lost(entry& known, steady_time at) const;
    void drop_old(steady_time now);
    void find_opening(steady_time now);
    bool settled(const entry& known, steady_time now) const;
    bool recently_lost(const entry& known, steady_time now) const;

    milliseconds m_window;
    std::map<std::string, entry, std::less<>> m_entries;
    steady_time m_opened = steady_time::max(); ///< When the first target of the set took part.
};

} // namespace boragehollow::balancing
