#include "boragehollow/admission/account_shares.hpp"

#include <algorithm>

namespace boragehollow::admission {

double account_shares::start_of(const std::string& account) const {
    const auto known = m_shares.find(account);
    if (known == m_shares.end()) {
        return m_virtual_time;
    }
    const share& own = known->second;
    return own.waiting > 0 ? own.start : std::max(m_virtual_time, own.start);
}

void account_shares::add_waiting(const std::string& account) {
    const double start = start_of(account);
    share& own = m_shares[account];
    own.start = start;
    ++own.waiting;
}

void account_shares::remove_waiting(const std::string& account) {
    const auto known = m_shares.find(account);
    if (known == m_shares.end()) {
        return;
    }
    share& own = known->second;
    own.waiting -= own.waiting > 0 ? 1 : 0;
    if (own.waiting == 0 && own.start <= m_virtual_time) {
        m_shares.erase(known);
    }
}

void account_shares::record_service(const std::string& account, double weight) {
    const double start = start_of(account);
    m_shares[account].start = start + 1 / weight;
    if (start <= m_virtual_time) {
        return;
    }
    m_virtual_time = start;
    std::erase_if(m_shares, [start](const auto& entry) {
        return entry.second.waiting == 0 && entry.second.start <= start;
    });
}

} // namespace boragehollow::admission
