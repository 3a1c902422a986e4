#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/daemon/rollout_messages.hpp"
#include "boragehollow/telemetry/event_log.hpp"

#include <functional>
#include <stop_token>

namespace boragehollow::daemon {

/// Access to the records of roll-outs in the store. Each call ends within the timeout of the store's client.
struct rollout_record_access {
    std::function<tl::expected<rollout_status, std::string>(const write_status&, const std::stop_token&)>
        write_status;
    std::function<tl::expected<void, std::string>(const rollout::stage_record&, const std::stop_token&)>
        write_stage;
    std::function<tl::expected<std::optional<rollout::stage_record>, std::string>(const std::string&,
                                                                                  const std::stop_token&)>
        read_stage;
};

/// Thread that reads and writes the records of roll-outs, so that reports and plans do not wait for the
/// store.
class rollout_record_duty {
public:
    rollout_record_duty(rollout_record_access access, std::function<void(rollout_message)> results,
                        const telemetry::event_log& events);
    ~rollout_record_duty();

    void stop();

    common::bounded_ring<rollout_record_message>& ring() { return m_ring; }

private:
    void run(const std::stop_token& stop);
    void handle(const write_status& message, const std::stop_token& stop);
    void handle(const write_stage& message, const std::stop_token& stop);
    void handle(const read_stage& message, const std::stop_token& stop);
    void report_failure(const std::string& service, const std::string& detail);

    rollout_record_access m_access;
    std::function<void(rollout_message)> m_results;
    const telemetry::event_log& m_events;
    common::bounded_ring<rollout_record_message> m_ring{64};
    common::duty m_thread;
};

} // namespace boragehollow::daemon
