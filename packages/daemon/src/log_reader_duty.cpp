#include "boragehollow/daemon/log_reader_duty.hpp"

#include "boragehollow/streams/snapshot_stream.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::daemon {

namespace {

using std::chrono::milliseconds;
using telemetry::event_number;

constexpr std::size_t max_records_per_page = 1'024;

/// Delay before the next long poll, so that the spreading duty can request a snapshot or another position
/// first.
constexpr milliseconds snapshot_request_delay{50};

} // namespace

log_reader_duty::log_reader_duty(streams::log_client client, settings::platform_settings settings,
                                 common::random_source random, std::size_t ring_size, log_reader_sink sink,
                                 const telemetry::event_log& events)
    : m_client(std::move(client)), m_settings(std::move(settings)), m_random(random), m_sink(std::move(sink)),
      m_events(events), m_backoff(m_settings.min_backoff), m_ring(ring_size),
      m_thread("log_reader", [this](const std::stop_token&) { run(); }) {}

log_reader_duty::~log_reader_duty() {
    stop();
}

void log_reader_duty::stop() {
    m_ring.close();
    m_thread.join();
}

void log_reader_duty::run() {
    while (true) {
        const auto message = m_active ? m_ring.pop_until(m_next_read) : m_ring.pop();
        if (message) {
            std::visit([&](const auto& concrete) { handle(concrete); }, *message);
            continue;
        }
        if (m_ring.is_closed()) {
            return;
        }
        if (m_active && common::steady_clock::now() >= m_next_read) {
            read_once();
        }
    }
}

void log_reader_duty::handle(const spreading::log_reading_changed& message) {
    if (message.active != m_active) {
        m_events.emit(message.active ? event_number::log_reader_started : event_number::log_reader_stopped,
                      {{"position", message.position.value}});
    }
    m_active = message.active;
    m_position = message.position;
    m_at_end = false;
    m_next_read = common::steady_clock::now();
}

void log_reader_duty::handle(const read_snapshot&) {
    auto found = streams::read_newest_snapshot(m_client, snapshot_stream, m_settings.request_timeout);
    if (!found || !*found) {
        m_sink(platform_snapshot_missing{});
        return;
    }
    const config::config_snapshot& state = **found;
    auto bytes = std::make_shared<const std::string>(codec::encode_state(state));
    m_sink(platform_snapshot_read{{state.version, state.digest, std::move(bytes)}});
}

void log_reader_duty::handle(const store_snapshot& message) {
    const config::config_snapshot& state = *message.state;
    const auto stored =
        streams::append_snapshot(m_client, snapshot_stream, state, m_settings.request_timeout);
    if (!stored) {
        m_events.emit(event_number::snapshot_append_failed,
                      {{"version", state.version.value}, {"detail", stored.error().detail}});
        m_sink(snapshot_store_failed{});
        return;
    }
    m_events.emit(event_number::snapshot_appended, {{"version", state.version.value}});
    m_sink(snapshot_stored{state.version});
}

void log_reader_duty::read_once() {
    const milliseconds wait = m_at_end ? m_settings.long_poll : milliseconds(0);
    auto page = streams::read(m_client, {config_stream, m_position.next(), max_records_per_page, wait},
                              wait + m_settings.request_timeout);
    if (!page) {
        handle_read_error(page.error());
        return;
    }
    if (!std::exchange(m_reachable, true)) {
        m_events.emit(event_number::log_reachable_again);
    }
    m_backoff = m_settings.min_backoff;
    handle_page(std::move(*page));
}

void log_reader_duty::handle_page(streams::log_page page) {
    const bool gap = m_position.next() < page.first_retained;
    const bool was_behind = !m_at_end;
    if (gap) {
        m_position = common::revision{page.first_retained.value - 1};
    }
    if (!page.records.empty()) {
        m_position = page.records.back().offset;
        m_sink(log_records_read{std::move(page.records)});
    }
    m_at_end = m_position.next() >= page.next_offset;
    m_next_read = common::steady_clock::now();
    if (!m_at_end) {
        return;
    }
    if (gap || was_behind) {
        m_next_read += snapshot_request_delay;
    }
    m_sink(log_end_reached{{page.first_retained, page.next_offset}});
}

void log_reader_duty::handle_read_error(const streams::log_error& error) {
    if (std::exchange(m_reachable, false)) {
        const bool invalid = error.kind == streams::log_error_kind::malformed;
        m_events.emit(invalid ? event_number::log_reply_invalid : event_number::log_unreachable,
                      {{"detail", error.detail}});
    }
    m_at_end = false;
    const auto jitter = std::chrono::duration_cast<milliseconds>(m_random.jitter(m_backoff));
    m_next_read = common::steady_clock::now() + std::max(m_backoff + jitter, error.retry_after);
    m_backoff = std::min(m_backoff * 2, m_settings.max_backoff);
    m_sink(log_unreachable{});
}

} // namespace boragehollow::daemon
