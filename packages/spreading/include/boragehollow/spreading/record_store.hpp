#pragma once

#include "boragehollow/spreading/messages.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace boragehollow::spreading {

/// The newest records without a gap, kept for peers, and the records that arrived ahead of a gap. Both parts
/// are bounded in number and bytes.
class record_store {
public:
    record_store(std::size_t max_records, std::size_t max_bytes)
        : m_max_records(max_records), m_max_bytes(max_bytes) {}

    /// Takes a record; returns false when it is known already or has no room.
    bool add(const log_record& record);

    /// Moves the records that now follow without a gap into the kept part, and returns them.
    std::vector<log_record> take_ready();

    /// Continues after `version`: drops everything up to it, and with it every kept record.
    void restart_after(revision version);

    /// Kept records after `version`, at most `max_bytes` of them but at least one. Empty when there are none
    /// or when `version` lies before the first kept one.
    std::vector<log_record> after(revision version, std::size_t max_bytes) const;

    /// True when each record after `version` that this store has passed is still kept.
    bool covers(revision version) const { return version.next() >= m_first; }

    revision last() const { return m_last; }
    bool has_gap() const { return !m_ahead.empty(); }
    std::size_t kept_records() const { return m_kept.size(); }
    std::size_t kept_bytes() const { return m_kept_bytes; }

private:
    void keep(const log_record& record);

    std::size_t m_max_records;
    std::size_t m_max_bytes;
    std::deque<log_record> m_kept; ///< Offsets [m_first, m_last].
    std::size_t m_kept_bytes = 0;
    std::map<revision, log_record> m_ahead;
    std::size_t m_ahead_bytes = 0;
    revision m_first{1};
    revision m_last;
};

} // namespace boragehollow::spreading
