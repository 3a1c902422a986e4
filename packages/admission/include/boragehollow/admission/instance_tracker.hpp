#pragma once

#include "boragehollow/admission/messages.hpp"
#include "boragehollow/common/endpoint.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace boragehollow::admission {

/// One announcement of a target, which may be late or come from an earlier incarnation.
struct instance_announcement {
    std::string id;
    common::endpoint address;
    std::string service;
    std::uint32_t slots = 1;
    target_state state = target_state::ready;
    /// Start of the incarnation by the target's own count; rises from one incarnation to the next. 0: not
    /// said.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Rises with each announcement of an incarnation.
};

/// The incarnation that the target on this host is now.
struct current_instance {
    std::string id;
    common::endpoint address;
    std::string service;
    std::uint32_t slots = 1;
    target_state state = target_state::ready;

    bool operator==(const current_instance&) const = default;
};

/// What is known of the target did change, or was confirmed.
struct announcement_accepted {
    bool changed = false;
};

/// The announcement was overtaken by a later one, or belongs to an incarnation that has ended.
struct announcement_outdated {};

/// The announcement names another service or address than this host's target has.
struct announcement_rejected {
    std::string reason;
};

using announcement_result = std::variant<announcement_accepted, announcement_outdated, announcement_rejected>;

struct instance_tracker_settings {
    std::string service;                     ///< Empty accepts every service.
    std::optional<common::endpoint> address; ///< Empty accepts every address.
    milliseconds silence_timeout{6'000};     ///< A target that is silent for longer counts as gone.
};

/// Decides which announcements of the local target count. An announcement that was held up on its way must
/// not bring back an incarnation that has ended or a state that was left.
class instance_tracker {
public:
    explicit instance_tracker(instance_tracker_settings settings) : m_settings(std::move(settings)) {}

    announcement_result record_announcement(const instance_announcement& announcement, steady_time now);

    /// The incarnation said that it ends; true when it was the current one. `incarnation` is 0 when it was
    /// not said.
    bool record_departure(const std::string& id, std::uint64_t incarnation);

    /// The target refused a connection or showed another identity; true when that changes what is known. The
    /// next announcement brings it back.
    bool mark_unreachable();

    /// True when the current incarnation has been silent for too long and counts as gone from now on.
    bool expire_if_silent(steady_time now);

    std::optional<current_instance> current() const;

private:
    struct record {
        instance_announcement last;
        steady_time heard;
        bool reachable = true;
    };

    struct ended_instance {
        std::uint64_t incarnation = 0;
        /// It left before this daemon had heard which incarnation it was.
        bool incarnation_unknown = false;
    };

    bool is_outdated(const instance_announcement& announcement);
    bool has_ended(const instance_announcement& announcement);

    instance_tracker_settings m_settings;
    std::optional<record> m_current;
    std::map<std::string, ended_instance> m_ended; ///< By id.
};

} // namespace boragehollow::admission
