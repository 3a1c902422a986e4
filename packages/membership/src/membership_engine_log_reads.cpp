#include "boragehollow/membership/membership_engine.hpp"

#include <algorithm>
#include <limits>
#include <utility>

// Which daemons read the platform's log for this failure domain, and what their reads confirm.

namespace boragehollow::membership {

bool membership_engine::is_log_reader(std::string_view host) {
    const std::vector<std::string>& readers = roles().readers;
    return std::find(readers.begin(), readers.end(), host) != readers.end();
}

void membership_engine::record_log_read(log_read read, common::steady_time read_at) {
    if (!m_latest_read || read_at > m_latest_read->at) {
        m_latest_read = {std::move(read), read_at};
    }
}

void membership_engine::send_report(const std::vector<std::string>& hosts, common::steady_time now,
                                    membership_effects& effects) {
    for (const std::string& host : hosts) {
        send(m_table.find(host)->gossip, progress_report{m_applied}, {}, now, effects);
    }
}

membership_effects membership_engine::confirm_log_read(common::steady_time read_at, common::steady_time now) {
    membership_effects effects;
    if (m_substitution) {
        m_substitution->confirmed_by_own_read(read_at, now, m_random);
        report_substitution(effects);
    }
    // The others must not rely on a daemon that may not read again.
    if (has_left() || m_settings.version_fan_out_of_reader == 0 || !reads_log()) {
        return effects;
    }
    while (m_process == 0) {
        m_process = m_random.index(std::numeric_limits<std::size_t>::max());
    }
    record_log_read({"", m_process, ++m_last_own_read, {}}, read_at);
    send_report(pick_receivers(m_settings.version_fan_out_of_reader), now, effects);
    return effects;
}

void membership_engine::learn_log_read(const datagram& received, common::steady_time now,
                                       membership_effects& effects) {
    // A sender with a newer version confirms that one, and not the version of this daemon. A read in another
    // failure domain is reported to few members of this one; it must not keep them from reading the log for
    // the others.
    const member_ref sender = m_table.find(received.from_host);
    const bool is_own_version = applied_version(received.body) <= m_applied;
    if (!received.latest_read || !is_own_version || !sender || !is_own_domain(*sender)) {
        return;
    }
    log_read read = *received.latest_read;
    if (read.reader.empty()) {
        read.reader = sender->host;
    }
    if (read.reader == m_self->host || !m_known_log_reads.accept(read.reader, read)) {
        return;
    }
    const common::steady_time read_at = now - read.age;
    record_log_read(read, read_at);
    if (m_substitution) {
        // Of several substitutes that know of each other, the first by name goes on.
        if (is_log_reader(read.reader) || read.reader < m_self->host) {
            m_substitution->other_reader_seen(read_at);
        }
        m_substitution->confirmed_by_others(read_at, now, m_random);
        report_substitution(effects);
    }
    // A reader does not reach all members of a large domain itself.
    const bool domain_is_large = m_own_domain_members.hosts().size() > m_settings.version_fan_out_of_reader;
    if (domain_is_large && !has_left()) {
        send_report(pick_receivers(m_settings.version_fan_out), now, effects);
    }
}

bool membership_engine::is_confirmation_overdue(common::steady_time now) const {
    return m_substitution && m_has_whole_table && m_substitution->is_overdue(now);
}

void membership_engine::decide_substitution(common::steady_time now) {
    // A daemon that knows few others would take a role that others have.
    if (!m_substitution || !m_has_whole_table) {
        return;
    }
    m_substitution->start(now, m_random);
    m_substitution->tick(now, m_own_domain_members.hosts().size() + 1, is_log_reader(m_self->host), m_random);
}

void membership_engine::report_substitution(membership_effects& effects) {
    if (std::exchange(m_reported_substitution, substitutes_reader()) != substitutes_reader()) {
        effects.push_back(substitution_changed{});
    }
}

} // namespace boragehollow::membership
