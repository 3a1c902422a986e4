#include "boragehollow/streams/memory_log.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::streams {

namespace {

constexpr std::size_t max_page_bytes = 4 * 1024 * 1024;

log_error refused(std::string detail, milliseconds retry_after = milliseconds(0)) {
    return {log_error_kind::refused, std::move(detail), retry_after};
}

} // namespace

/// Waits for the configured delay; returns false if `timeout` expires first.
bool memory_log::apply_delay(std::unique_lock<std::mutex>& lock, milliseconds timeout) {
    const milliseconds delay = m_switches.slow;
    const bool in_time = delay < timeout;
    m_changed.wait_for(lock, std::min(delay, timeout), [&] { return m_closed; });
    return in_time;
}

bool memory_log::try_acquire_append_permit(steady_time now) {
    if (m_settings.appends_per_second == 0) {
        return true;
    }
    while (!m_recent_appends.empty() && now - m_recent_appends.front() >= std::chrono::seconds(1)) {
        m_recent_appends.pop_front();
    }
    if (m_recent_appends.size() >= m_settings.appends_per_second) {
        return false;
    }
    m_recent_appends.push_back(now);
    return true;
}

tl::expected<revision, log_error> memory_log::append(const std::string& stream, std::string record,
                                                     const std::string& client, milliseconds timeout) {
    std::unique_lock lock(m_mutex);
    const bool in_time = apply_delay(lock, timeout);
    log_counters& stream_counters = m_counters.by_stream[stream];
    log_counters& client_counters = m_counters.by_client[client];
    const auto refuse = [&](log_error error) {
        ++stream_counters.refused;
        ++client_counters.refused;
        return tl::unexpected(std::move(error));
    };
    if (m_closed || m_switches.outage) {
        return refuse(refused("the log service is unavailable"));
    }
    const steady_time now = common::steady_clock::now();
    if (!try_acquire_append_permit(now)) {
        return refuse(refused("append rate limit exceeded", milliseconds(200)));
    }
    for (log_counters* counters : {&stream_counters, &client_counters}) {
        ++counters->appends;
        counters->bytes_appended += record.size();
    }
    stream_state& state = m_streams[stream];
    const revision offset = state.next_offset();
    state.records.push_back({std::make_shared<const std::string>(std::move(record)), now});
    drop_expired(state, now);
    m_changed.notify_all();
    if (m_switches.lose_answers > 0) {
        --m_switches.lose_answers;
        return tl::unexpected(log_error{log_error_kind::response_lost, "the response was lost", {}});
    }
    if (!in_time) {
        return tl::unexpected(log_error{log_error_kind::response_lost, "no response in time", {}});
    }
    return offset;
}

tl::expected<log_page, log_error> memory_log::read(const read_request& request, const std::string& client,
                                                   milliseconds timeout) {
    std::unique_lock lock(m_mutex);
    const steady_time wait_end = common::steady_clock::now() + request.wait;
    if (!apply_delay(lock, timeout)) {
        return tl::unexpected(log_error{log_error_kind::response_lost, "no response in time", {}});
    }
    stream_state& state = m_streams[request.stream];
    m_changed.wait_until(lock, wait_end,
                         [&] { return m_closed || m_switches.outage || state.next_offset() > request.from; });
    log_counters& stream_counters = m_counters.by_stream[request.stream];
    log_counters& client_counters = m_counters.by_client[client];
    if (m_closed || m_switches.outage) {
        ++stream_counters.refused;
        ++client_counters.refused;
        return tl::unexpected(refused("the log service is unavailable"));
    }
    drop_expired(state, common::steady_clock::now());
    log_page page = make_page(state, request);
    for (log_counters* counters : {&stream_counters, &client_counters}) {
        ++counters->reads;
        for (const auto& record : page.records) {
            counters->bytes_read += record.size();
        }
    }
    return page;
}

void memory_log::drop_expired(stream_state& state, steady_time now) const {
    const auto expired = [&] {
        if (state.records.empty()) {
            return false;
        }
        const bool too_many =
            m_settings.retained_records > 0 && state.records.size() > m_settings.retained_records;
        const bool too_old = m_settings.retained_time > milliseconds(0) &&
                             now - state.records.front().appended > m_settings.retained_time;
        return too_many || too_old;
    };
    while (expired()) {
        state.records.pop_front();
        state.first = state.first.next();
    }
}

log_page memory_log::make_page(const stream_state& state, const read_request& request) {
    log_page page{state.first, state.next_offset(), {}};
    std::size_t bytes = 0;
    for (revision offset = std::max(request.from, state.first); offset < page.next_offset;
         offset = offset.next()) {
        const stored_record& stored = state.records[offset.value - state.first.value];
        bytes += stored.bytes->size();
        const bool full = page.records.size() >= request.max_records || bytes > max_page_bytes;
        if (full && !page.records.empty()) {
            break;
        }
        page.records.push_back({offset, stored.bytes});
    }
    return page;
}

void memory_log::set_switches(memory_log_switches switches) {
    const std::lock_guard lock(m_mutex);
    m_switches = switches;
    m_changed.notify_all();
}

memory_log_switches memory_log::switches() const {
    const std::lock_guard lock(m_mutex);
    return m_switches;
}

all_log_counters memory_log::counters() const {
    const std::lock_guard lock(m_mutex);
    return m_counters;
}

void memory_log::expire_before(const std::string& stream, revision first) {
    const std::lock_guard lock(m_mutex);
    stream_state& state = m_streams[stream];
    while (!state.records.empty() && state.first < first) {
        state.records.pop_front();
        state.first = state.first.next();
    }
}

void memory_log::close() {
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    m_changed.notify_all();
}

} // namespace boragehollow::streams
