#pragma once

#include <chrono>
#include <cstddef>

namespace boragehollow::daemon {

/// Position of a daemon among those of its failure domain that read the platform continuously.
struct reader_position {
    std::size_t index = 0;
    std::size_t readers = 1;

    bool operator==(const reader_position&) const = default;
};

struct poll_schedule_settings {
    /// Time between the ends of the polls of two neighbouring readers.
    std::chrono::milliseconds slot{520};
    /// Wait where no other reader covers this one. Shorter waits make more calls, which are charged for.
    std::chrono::milliseconds min_wait{1'000};
    /// Longest wait, after which a reader hears of new versions again even if all others have failed.
    std::chrono::milliseconds max_wait{6'000};
    /// Wait while the platform does not respond. A poll that begins in an outage hangs for its whole wait,
    /// also when the platform responds again, but it must leave a slow platform time to send a large
    /// document.
    std::chrono::milliseconds outage_wait{700};
    /// Wait of a daemon that reads in place of others. It may be the only one of its failure domain that the
    /// platform responds to, and the others rely on the end of each poll.
    std::chrono::milliseconds substitute_wait{700};
};

/// Decides how long the long polls of one reader wait, so that the readers cover one another.
///
/// A poll that meets a platform which does not respond, or whose connection fails silently, hears nothing
/// until it ends, also when the platform responds to others again. A version ends the polls of all readers at
/// once; with equal waits they would then hang together for a whole wait. Each reader therefore shortens its
/// first poll after such an end by its position, so that there is always one whose next poll begins soon. The
/// waits grow with the number of readers, so that the rate of calls does not. The end of a poll also confirms
/// to the other daemons of the failure domain that there is no newer version, so that each domain needs its
/// own readers to cover one another.
class poll_schedule {
public:
    explicit poll_schedule(poll_schedule_settings settings) : m_settings(settings) {}

    void set_position(reader_position position);

    /// The polls of all readers have ended together, by a version or by the end of an outage.
    void polls_ended_together() { m_first_poll = true; }

    /// Wait of the next poll.
    std::chrono::milliseconds next_wait();

    /// Wait of the next poll after one without a response.
    std::chrono::milliseconds outage_wait() const { return m_settings.outage_wait; }

    std::chrono::milliseconds substitute_wait() const { return m_settings.substitute_wait; }

private:
    poll_schedule_settings m_settings;
    reader_position m_position;
    bool m_first_poll = true;
};

} // namespace boragehollow::daemon
