#pragma once

#include "boragehollow/spreading/messages.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace boragehollow::spreading {

/// Retains the newest contiguous records for pulls of peers, and buffers the records that arrived after a
/// gap. Both parts are limited in number and bytes.
class record_store {
public:
    record_store(std::size_t max_records, std::size_t max_bytes)
        : m_max_records(max_records), m_max_bytes(max_bytes) {}

    /// Adds a record. Returns false when the record is present already or exceeds the limits.
    bool add(const log_record& record);

    /// Moves the buffered records that now follow without a gap to the retained ones, and returns them.
    std::vector<log_record> take_contiguous();

    /// Continues after `version`: removes all retained records, and the buffered ones up to `version`.
    void reset_to(revision version);

    /// Returns the retained records after `version`, at most `max_bytes` but at least one record. Empty when
    /// there are none, or when a record after `version` is no longer retained.
    std::vector<log_record> records_after(revision version, std::size_t max_bytes) const;

    /// Returns true when no record after `version` has been removed.
    bool covers(revision version) const { return version.next() >= m_first; }

    revision last() const { return m_last; }
    bool has_gap() const { return !m_pending.empty(); }
    std::size_t retained_records() const { return m_retained.size(); }
    std::size_t retained_bytes() const { return m_retained_bytes; }

private:
    void retain(const log_record& record);

    std::size_t m_max_records;
    std::size_t m_max_bytes;
    std::deque<log_record> m_retained; ///< Offsets [m_first, m_last].
    std::size_t m_retained_bytes = 0;
    std::map<revision, log_record> m_pending;
    std::size_t m_pending_bytes = 0;
    revision m_first{1};
    revision m_last;
};

} // namespace boragehollow::spreading
