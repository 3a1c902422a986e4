#pragma once

#include "boragehollow/admission/messages.hpp"
#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/withdrawn_instance.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace boragehollow::admission {

/// Announcement of a target. It may be delayed or come from an earlier incarnation.
struct instance_announcement {
    std::string id;
    common::endpoint address;
    std::string service;
    std::uint32_t slots = 1;
    target_state state = target_state::ready;
    /// Start of the incarnation on the target's own clock; increases with each incarnation. 0 when not
    /// stated.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Increases with each announcement of an incarnation.
    std::string version{};      ///< Of the target's software; empty when not stated.
};

/// The current incarnation of the target on this host.
struct current_instance {
    std::string id;
    common::endpoint address;
    std::string service;
    std::uint32_t slots = 1;
    target_state state = target_state::ready;
    std::string version{};

    bool operator==(const current_instance&) const = default;
};

using common::withdrawn_instance;

/// The announcement changed or confirmed the state of the target.
struct announcement_accepted {
    bool changed = false;
    bool withdrawn = false; ///< The announcement is the first that reports the drain of its incarnation.
};

/// A later announcement was processed before, or the incarnation has ended.
struct announcement_outdated {};

/// The announcement states a service or address other than the configured one.
struct announcement_rejected {
    std::string reason;
};

using announcement_result = std::variant<announcement_accepted, announcement_outdated, announcement_rejected>;

struct instance_tracker_settings {
    std::string service;                     ///< Empty accepts every service.
    std::optional<common::endpoint> address; ///< Empty accepts every address.
    milliseconds silence_timeout{6'000};     ///< A target that announces nothing for longer is dropped.
};

/// Tracks the current incarnation of the local target from its announcements. A delayed announcement must not
/// restore an ended incarnation or an earlier state.
///
/// A restarted daemon does not know which incarnations were withdrawn before. Until all who may know have
/// told it, one announcement may be a delayed one and only a second, later one makes the target available.
class instance_tracker {
public:
    explicit instance_tracker(instance_tracker_settings settings) : m_settings(std::move(settings)) {}

    announcement_result record_announcement(const instance_announcement& announcement, steady_time now);

    /// Records that an incarnation announced its end; true when it was the current one. `incarnation` is 0
    /// when not stated.
    bool record_departure(const std::string& id, std::uint64_t incarnation);

    /// Adds incarnations that were withdrawn before this process started; true when that changes the current
    /// instance.
    bool restore(const std::vector<withdrawn_instance>& withdrawn);

    /// All who may know of earlier withdrawals have told; true when that changes the current instance.
    bool complete_history();

    /// The latest withdrawn incarnations, for `restore` after a restart.
    std::vector<withdrawn_instance> latest_withdrawn() const;

    /// The target refused a connection or presented another identity; true when it was reachable before. The
    /// next announcement makes it reachable again.
    bool mark_unreachable();

    void set_silence_timeout(milliseconds timeout) { m_settings.silence_timeout = timeout; }

    /// Drops the current incarnation if it exceeded the silence timeout; true when it did.
    bool expire_if_silent(steady_time now);

    std::optional<current_instance> current() const;

private:
    struct tracked_instance {
        instance_announcement last;
        steady_time last_announced;
        bool reachable = true;
        bool announced_again = false; ///< A later announcement followed the first.
    };

    bool is_outdated(const instance_announcement& announcement);
    bool has_ended(const instance_announcement& announcement);
    bool is_draining(const instance_announcement& announcement) const;
    std::vector<withdrawn_instance>::iterator find_withdrawn(const std::string& id);
    /// The entry of the id, moved behind the others; a new one if there is none.
    withdrawn_instance& latest_entry(const std::string& id);

    instance_tracker_settings m_settings;
    std::optional<tracked_instance> m_current;
    std::vector<withdrawn_instance> m_withdrawn; ///< One for each id, the latest last.
    bool m_history_known = false;
};

} // namespace boragehollow::admission
