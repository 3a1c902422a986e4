#include "boragehollow/admission/duplicate_table.hpp"

#include "boragehollow/common/rendezvous.hpp"

#include <algorithm>

namespace boragehollow::admission {

namespace {

constexpr std::uint64_t second_seed = 0x9e3779b97f4a7c15ULL; // Any value other than 0, the default seed.

} // namespace

duplicate_table::duplicate_table(std::size_t capacity, milliseconds retention)
    : m_capacity(capacity), m_retention(retention) {}

duplicate_table::digest duplicate_table::digest_of(std::string_view id) {
    return {common::stable_hash(id), common::stable_hash(id, second_seed)};
}

bool duplicate_table::contains(std::string_view id, steady_time now) {
    expire(now);
    return m_entries.contains(digest_of(id));
}

bool duplicate_table::full(steady_time now) {
    expire(now);
    return m_entries.size() >= m_capacity;
}

void duplicate_table::hold(std::string_view id) {
    m_entries[digest_of(id)] = steady_time::max();
}

void duplicate_table::extend_retention(milliseconds delay) {
    m_max_delay = std::max(m_max_delay, delay);
}

void duplicate_table::retain(std::string_view id, steady_time now) {
    const digest key = digest_of(id);
    const steady_time until = now + m_retention + m_max_delay;
    m_entries[key] = until;
    m_expiries.emplace_back(until, key);
}

void duplicate_table::forget(std::string_view id) {
    m_entries.erase(digest_of(id));
}

void duplicate_table::expire(steady_time now) {
    while (!m_expiries.empty() && m_expiries.front().first <= now) {
        const auto [until, key] = m_expiries.front();
        m_expiries.pop_front();
        const auto entry = m_entries.find(key);
        // An id that was forgotten and added again has another expiry time.
        if (entry != m_entries.end() && entry->second == until) {
            m_entries.erase(entry);
        }
    }
}

} // namespace boragehollow::admission
