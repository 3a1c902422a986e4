#include "boragehollow/daemon/rollout_record_duty.hpp"

#include <string_view>
#include <utility>

namespace boragehollow::daemon {

using telemetry::event_number;

namespace {

std::string_view to_string(rollout_status status) {
    switch (status) {
    case rollout_status::running:
        return "running";
    case rollout_status::completed:
        return "completed";
    case rollout_status::rolled_back:
        return "rolled_back";
    }
    return "running";
}

} // namespace

rollout_record_duty::rollout_record_duty(rollout_record_access access,
                                         std::function<void(rollout_message)> results,
                                         const telemetry::event_log& events)
    : m_access(std::move(access)), m_results(std::move(results)), m_events(events),
      m_thread("rollout_records", [this](const std::stop_token& stop) { run(stop); }) {}

rollout_record_duty::~rollout_record_duty() {
    stop();
}

void rollout_record_duty::stop() {
    m_thread.request_stop();
    m_ring.close();
    m_thread.join();
}

void rollout_record_duty::run(const std::stop_token& stop) {
    while (const auto message = m_ring.pop()) {
        if (stop.stop_requested()) {
            return;
        }
        std::visit([&](const auto& concrete) { handle(concrete, stop); }, *message);
    }
}

void rollout_record_duty::report_failure(const std::string& service, const std::string& detail) {
    m_events.emit(event_number::rollout_record_failed, {{"service", service}, {"detail", detail}});
}

void rollout_record_duty::handle(const write_status& message, const std::stop_token& stop) {
    const auto standing = m_access.write_status(message, stop);
    status_written result{message.service, message.order_offset, message.wanted, std::nullopt};
    if (standing) {
        result.standing = *standing;
        m_events.emit(event_number::rollout_recorded, {{"service", message.service},
                                                       {"version", message.version},
                                                       {"status", std::string(to_string(*standing))}});
    } else {
        report_failure(message.service, standing.error());
    }
    m_results(std::move(result));
}

void rollout_record_duty::handle(const write_stage& message, const std::stop_token& stop) {
    const auto written = m_access.write_stage(message.record, stop);
    if (!written) {
        report_failure(message.record.service, written.error());
    }
}

void rollout_record_duty::handle(const read_stage& message, const std::stop_token& stop) {
    auto recorded = m_access.read_stage(message.service, stop);
    if (!recorded) {
        report_failure(message.service, recorded.error());
    }
    m_results(stage_read{message.service, std::move(recorded)});
}

} // namespace boragehollow::daemon
