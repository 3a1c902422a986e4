#include "boragehollow/spreading/record_store.hpp"

#include <iterator>

namespace boragehollow::spreading {

bool record_store::add(const log_record& record) {
    if (record.offset <= m_last || m_ahead.contains(record.offset)) {
        return false;
    }
    m_ahead.emplace(record.offset, record);
    m_ahead_bytes += record.size();
    const bool follows = record.offset == m_last.next();
    // The record that closes the gap always has room: everything else waits for it.
    while (!follows && (m_ahead.size() > m_max_records || m_ahead_bytes > m_max_bytes)) {
        const auto highest = std::prev(m_ahead.end());
        const bool is_new_one = highest->first == record.offset;
        m_ahead_bytes -= highest->second.size();
        m_ahead.erase(highest);
        if (is_new_one) {
            return false;
        }
    }
    return true;
}

std::vector<log_record> record_store::take_ready() {
    std::vector<log_record> ready;
    while (!m_ahead.empty() && m_ahead.begin()->first == m_last.next()) {
        const auto first = m_ahead.begin();
        m_ahead_bytes -= first->second.size();
        ready.push_back(std::move(first->second));
        m_ahead.erase(first);
        m_last = ready.back().offset;
        keep(ready.back());
    }
    return ready;
}

void record_store::keep(const log_record& record) {
    m_kept.push_back(record);
    m_kept_bytes += record.size();
    while (m_kept.size() > m_max_records || m_kept_bytes > m_max_bytes) {
        m_kept_bytes -= m_kept.front().size();
        m_kept.pop_front();
        m_first = m_first.next();
    }
}

void record_store::restart_after(revision version) {
    m_kept.clear();
    m_kept_bytes = 0;
    m_first = version.next();
    m_last = version;
    while (!m_ahead.empty() && m_ahead.begin()->first <= version) {
        m_ahead_bytes -= m_ahead.begin()->second.size();
        m_ahead.erase(m_ahead.begin());
    }
}

std::vector<log_record> record_store::after(revision version, std::size_t max_bytes) const {
    if (!covers(version) || version >= m_last) {
        return {};
    }
    std::vector<log_record> found;
    std::size_t bytes = 0;
    for (std::size_t i = version.next().value - m_first.value; i < m_kept.size(); ++i) {
        bytes += m_kept[i].size();
        if (bytes > max_bytes && !found.empty()) {
            break;
        }
        found.push_back(m_kept[i]);
    }
    return found;
}

} // namespace boragehollow::spreading
