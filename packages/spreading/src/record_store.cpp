#include "boragehollow/spreading/record_store.hpp"

#include <iterator>

namespace boragehollow::spreading {

bool record_store::add(const log_record& record) {
    if (record.offset <= m_last || m_pending.contains(record.offset)) {
        return false;
    }
    m_pending.emplace(record.offset, record);
    m_pending_bytes += record.size();
    const bool follows = record.offset == m_last.next();
    // The record that closes the gap is always accepted, because all buffered records wait for it.
    while (!follows && (m_pending.size() > m_max_records || m_pending_bytes > m_max_bytes)) {
        const auto last_pending = std::prev(m_pending.end());
        const bool is_new_one = last_pending->first == record.offset;
        m_pending_bytes -= last_pending->second.size();
        m_pending.erase(last_pending);
        if (is_new_one) {
            return false;
        }
    }
    return true;
}

std::vector<log_record> record_store::take_contiguous() {
    std::vector<log_record> ready;
    while (!m_pending.empty() && m_pending.begin()->first == m_last.next()) {
        const auto first = m_pending.begin();
        m_pending_bytes -= first->second.size();
        ready.push_back(std::move(first->second));
        m_pending.erase(first);
        m_last = ready.back().offset;
        retain(ready.back());
    }
    return ready;
}

void record_store::retain(const log_record& record) {
    m_retained.push_back(record);
    m_retained_bytes += record.size();
    while (m_retained.size() > m_max_records || m_retained_bytes > m_max_bytes) {
        m_retained_bytes -= m_retained.front().size();
        m_retained.pop_front();
        m_first = m_first.next();
    }
}

void record_store::reset_to(revision version) {
    m_retained.clear();
    m_retained_bytes = 0;
    m_first = version.next();
    m_last = version;
    while (!m_pending.empty() && m_pending.begin()->first <= version) {
        m_pending_bytes -= m_pending.begin()->second.size();
        m_pending.erase(m_pending.begin());
    }
}

std::vector<log_record> record_store::records_after(revision version, std::size_t max_bytes) const {
    if (!covers(version) || version >= m_last) {
        return {};
    }
    std::vector<log_record> found;
    std::size_t bytes = 0;
    for (std::size_t i = version.next().value - m_first.value; i < m_retained.size(); ++i) {
        bytes += m_retained[i].size();
        if (bytes > max_bytes && !found.empty()) {
            break;
        }
        found.push_back(m_retained[i]);
    }
    return found;
}

} // namespace boragehollow::spreading
