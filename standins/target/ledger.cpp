#include "ledger.hpp"

#include <utility>

namespace boragehollow::standin {

void ledger::begin(ledger_entry entry) {
    ++m_counts.started;
    if (!entry.request_id.empty()) {
        ++m_runs[entry.request_id];
    }
    m_entries.push_back(std::move(entry));
    if (m_entries.size() > m_capacity) {
        m_runs.erase(m_entries.front().request_id);
        m_entries.pop_front();
    }
}

void ledger::end(std::uint64_t number, run_state state, std::uint64_t received, common::wall_time now) {
    switch (state) {
    case run_state::done:
        ++m_counts.done;
        break;
    case run_state::aborted:
        ++m_counts.aborted;
        break;
    case run_state::expired:
        ++m_counts.expired;
        break;
    case run_state::died:
        ++m_counts.died;
        break;
    case run_state::running:
        break;
    }
    if (m_entries.empty() || number < m_entries.front().number) {
        return;
    }
    ledger_entry& entry = m_entries.at(number - m_entries.front().number);
    entry.state = state;
    entry.received = received;
    entry.end = now;
}

std::vector<std::pair<std::string, std::uint32_t>> ledger::repeated() const {
    std::vector<std::pair<std::string, std::uint32_t>> found;
    for (const auto& [id, runs] : m_runs) {
        if (runs > 1) {
            found.emplace_back(id, runs);
        }
    }
    return found;
}

} // namespace boragehollow::standin
