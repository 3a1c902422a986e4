#pragma once

#include "boragehollow/common/random_source.hpp"
#include "boragehollow/common/time.hpp"

#include <chrono>
#include <cstddef>
#include <optional>

namespace boragehollow::membership {

struct reader_substitution_settings {
    /// Longer than the 1.04 s between two reads of one log reader, so that a single reader is enough. With
    /// the window and the time to read and distribute a version, the sum has to stay below the 2 s in which a
    /// version has to be in force.
    std::chrono::milliseconds max_confirmation_age{1'200};
    /// Daemons begin to substitute at random moments of this window, so that the first one that reaches the
    /// platform's log spares most of the others the read.
    std::chrono::milliseconds start_window{300};
    /// Upper bound on the expected number of daemons of a failure domain that try at once. If the platform
    /// turns nine of ten away, 32 of them include one that it serves in 97 of 100 cases.
    std::size_t max_candidates = 32;
    /// Interval at which a daemon that was not chosen to try draws again.
    std::chrono::milliseconds retry_interval{500};
    /// Time after which a daemon that has not reached the log draws again whether to go on. Longer than one
    /// read without a response.
    std::chrono::milliseconds attempt_duration{2'000};
};

/// Decides whether a daemon reads the platform's log in place of its failure domain's log readers.
///
/// A daemon that is no log reader has only the readers' word that its configuration is the newest. The
/// failure detector finds a reader that ended, but one after the other and after seconds, and it does not
/// find a reader that lives and that the platform does not serve. So each daemon measures the age of the last
/// confirmation itself, and reads the log when that is too old.
class reader_substitution {
public:
    explicit reader_substitution(reader_substitution_settings settings) : m_settings(settings) {}

    /// Starts the measurement. Until then the age means nothing, since this daemon does not know the others.
    void start(common::steady_time now, common::random_source& random);

    /// The configuration was the newest one at `confirmed_at`, as another daemon reported. Ends an attempt of
    /// this daemon that has not reached the log.
    void confirmed_by_others(common::steady_time confirmed_at, common::steady_time now,
                             common::random_source& random);

    /// The configuration was the newest one at `confirmed_at`, by this daemon's own read. Ends the
    /// substitution if another reader was seen since the confirmation that was too old.
    void confirmed_by_own_read(common::steady_time confirmed_at, common::steady_time now,
                               common::random_source& random);

    /// Another daemon to which this one yields reads the log for the domain.
    void other_reader_seen(common::steady_time read_at) { m_other_reader_seen = read_at; }

    /// `members` is the number of live members of the failure domain.
    void tick(common::steady_time now, std::size_t members, bool is_log_reader,
              common::random_source& random);

    bool is_active() const { return m_active.has_value(); }

    /// True if the last confirmation is too old.
    bool is_overdue(common::steady_time now) const { return now >= m_overdue_at; }

    common::steady_time next_due() const;

private:
    /// A substitution that is under way.
    struct substitution {
        common::steady_time review_at; ///< Next moment at which this daemon draws again whether to go on.
        std::optional<common::steady_time> reached_log_at;
    };

    bool reaches_log(common::steady_time now) const;

    void confirm(common::steady_time confirmed_at, common::random_source& random);
    void review_attempt(common::steady_time now, std::size_t members, common::random_source& random);
    void begin_if_chosen(common::steady_time now, std::size_t members, bool is_log_reader,
                         common::random_source& random);
    bool is_chosen(std::size_t members, common::random_source& random) const;

    reader_substitution_settings m_settings;
    std::optional<common::steady_time> m_confirmed_at;
    std::optional<common::steady_time> m_other_reader_seen;
    std::optional<substitution> m_active;
    common::steady_time m_overdue_at = common::steady_time::max();
    /// Next moment at which this daemon decides whether to substitute.
    common::steady_time m_decide_at = common::steady_time::max();
    bool m_postponed = false; ///< The decision was already postponed because this daemon was late.
};

} // namespace boragehollow::membership
