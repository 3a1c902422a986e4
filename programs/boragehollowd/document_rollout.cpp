#include "document_rollout.hpp"

#include "document_registry.hpp"

#include "boragehollow/platform/rollout_store.hpp"

#include <utility>

namespace boragehollow::daemon {

namespace {

using telemetry::event_number;

platform::operator_status to_platform(rollout_status status) {
    switch (status) {
    case rollout_status::running:
        return platform::operator_status::running;
    case rollout_status::completed:
        return platform::operator_status::completed;
    case rollout_status::rolled_back:
        return platform::operator_status::rolled_back;
    }
    return platform::operator_status::running;
}

rollout_status from_platform(platform::operator_status status) {
    switch (status) {
    case platform::operator_status::running:
        return rollout_status::running;
    case platform::operator_status::completed:
        return rollout_status::completed;
    case platform::operator_status::rolled_back:
        return rollout_status::rolled_back;
    }
    return rollout_status::running;
}

rollout_record_access record_access(document_pipeline::components& daemon) {
    const platform::rollout_store records{make_store_client(daemon)};
    return {
        [records](const write_status& request, const std::stop_token& stop) {
            return records.write_status(request.service, {request.version, to_platform(request.wanted)}, stop)
                .map([](const platform::rollout_status& standing) { return from_platform(standing.state); });
        },
        [records](const rollout::stage_record& record, const std::stop_token& stop) {
            return records.write_stage(record, stop);
        },
        [records](const std::string& service, const std::stop_token& stop) {
            return records.read_stage(service, stop);
        }};
}

rollout_sinks make_rollout_sinks(document_pipeline::components& daemon) {
    rollout_sinks sinks;
    sinks.mesh = [&daemon] { return daemon.mesh.load(); };
    sinks.targets = [&daemon] { return daemon.targets.load(); };
    sinks.apply = [&daemon](const rollout::plan& plan) {
        daemon.forwarder->post(forwarding::rollout_plan_changed{plan});
    };
    sinks.remove = [&daemon](const std::string& service) {
        daemon.forwarder->post(forwarding::rollout_plan_removed{service});
    };
    sinks.request_report = [&daemon] {
        daemon.forwarder->post(
            forwarding::rollout_report_requested{[&daemon](std::optional<rollout::report> made) {
                daemon.rollout->ring().try_push(local_report_made{std::move(made)});
            }});
    };
    sinks.send = [&daemon](const common::endpoint& peer, const std::string& path, std::string body,
                           control_reply on_reply) {
        daemon.forwarder->post(forwarding::send_control_request{peer, path, std::move(body), control_timeout,
                                                                std::move(on_reply)});
    };
    sinks.record = [&daemon](rollout_record_message message) {
        daemon.rollout_records->ring().try_push(std::move(message));
    };
    return sinks;
}

} // namespace

void start_rollout_duties(document_pipeline::components& daemon) {
    const settings::daemon_settings& settings = daemon.settings;
    if (!settings.rollout.enabled) {
        return;
    }
    daemon.rollout_records = std::make_unique<rollout_record_duty>(
        record_access(daemon),
        [&daemon](rollout_message result) {
            daemon.components_ready.wait();
            // The duty does not exist after a failed start.
            if (!daemon.rollout) {
                return;
            }
            daemon.rollout->ring().push_until(std::move(result), deadline_after(control_timeout));
        },
        daemon.events);
    rollout_duty_settings duty_settings;
    duty_settings.host = settings.identity.host;
    duty_settings.coordinator = {settings.rollout.max_share, settings.rollout.share_slack};
    daemon.rollout = std::make_unique<rollout_duty>(std::move(duty_settings), make_rollout_sinks(daemon),
                                                    daemon.events, daemon.metrics);
}

std::optional<platform::order_sinks> rollout_order_sinks(document_pipeline::components& daemon) {
    if (!daemon.settings.rollout.enabled) {
        return std::nullopt;
    }
    platform::order_sinks sinks;
    sinks.received = [&daemon](const rollout::order& order, bool just_written) {
        daemon.components_ready.wait();
        if (!daemon.rollout) {
            return;
        }
        daemon.rollout->ring().push_until(order_received{order, just_written},
                                          deadline_after(control_timeout));
    };
    sinks.invalid = [&daemon](const std::string& key, const std::string& detail) {
        daemon.events.emit(event_number::rollout_order_invalid, {{"key", key}, {"detail", detail}});
    };
    return sinks;
}

bool handle_rollout_request(document_pipeline::components& daemon, const std::string& path,
                            const std::string& body, const control_reply& send_reply) {
    const bool report = path == rollout_report_path;
    if (!report && path != rollout_plans_path) {
        return false;
    }
    const bool pushed =
        daemon.rollout && (report ? daemon.rollout->ring().try_push(report_received{body, send_reply})
                                  : daemon.rollout->ring().try_push(plans_received{body, send_reply}));
    if (!pushed) {
        send_reply(std::nullopt);
    }
    return true;
}

} // namespace boragehollow::daemon
