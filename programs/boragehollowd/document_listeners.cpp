#include "document_listeners.hpp"

#include "http_listeners.hpp"

#include "boragehollow/daemon/readiness.hpp"

#include <utility>

namespace boragehollow::daemon {

namespace {

using telemetry::event_number;

constexpr std::size_t host_threads = 2;
constexpr std::size_t operator_threads = 3;
constexpr std::chrono::milliseconds host_read_timeout{4'000};

/// Time for which the acknowledgement of a drain or a departure waits until it is saved. A target waits one
/// second for the acknowledgement. Without one it announces the same again, and the save is retried.
constexpr std::chrono::milliseconds max_save_time{500};

bool ready_for_calls(const document_pipeline::components& daemon) {
    return is_ready({daemon.started, daemon.forwarder->has_configuration(), daemon.forwarder->knows_targets(),
                     daemon.stopping},
                    common::steady_clock::now());
}

bool is_saved(const document_pipeline::components& daemon, const common::save_progress& progress,
              common::steady_time deadline) {
    const bool saved = progress.wait_until(deadline);
    if (!saved) {
        daemon.events.emit(event_number::target_withdrawal_unconfirmed);
    }
    return saved;
}

platform::host_frontend_callbacks make_host_callbacks(document_pipeline::components& daemon) {
    platform::host_frontend_callbacks callbacks;
    callbacks.announce = [&daemon](admission::instance_announcement announcement) {
        const common::steady_time save_deadline = deadline_after(max_save_time);
        instance_announced message{std::move(announcement), {}};
        const auto reply = message.reply;
        if (!daemon.instance->ring().try_push(instance_message(std::move(message)))) {
            return std::optional<admission::announcement_result>();
        }
        const auto replied = reply.wait_until(deadline_after(control_timeout));
        if (!replied || (replied->saved && !is_saved(daemon, *replied->saved, save_deadline))) {
            return std::optional<admission::announcement_result>();
        }
        return std::optional(replied->result);
    };
    callbacks.leave = [&daemon](const std::string& id, std::uint64_t incarnation) {
        const common::steady_time save_deadline = deadline_after(max_save_time);
        instance_departed message{id, incarnation, {}};
        const auto reply = message.reply;
        if (!daemon.instance->ring().try_push(instance_message(std::move(message)))) {
            return false;
        }
        const auto saved = reply.wait_until(deadline_after(control_timeout));
        return saved && is_saved(daemon, *saved, save_deadline);
    };
    callbacks.ready = [&daemon] { return ready_for_calls(daemon); };
    callbacks.report_invalid = [&daemon](const std::string& detail) {
        daemon.events.emit(event_number::target_announcement_invalid, {{"detail", detail}});
    };
    return callbacks;
}

operator_callbacks make_operator_callbacks(document_pipeline::components& daemon) {
    operator_callbacks callbacks;
    callbacks.publish = [](const config::change&) -> publish_result {
        return change_not_appended{
            "the platform's documents are the only source of configuration of this mesh"};
    };
    callbacks.snapshot = [&daemon] { return daemon.snapshot.load(); };
    callbacks.progress = [&daemon](common::revision version) {
        mesh_progress progress{version, {}};
        domain_progress own{daemon.settings.identity.failure_domain, false, 0, 0};
        if (const auto counts = daemon.membership->progress(version, deadline_after(control_timeout))) {
            own.replied = true;
            own.members = counts->members;
            own.at_revision = counts->at_or_past;
        }
        progress.domains.push_back(std::move(own));
        return progress;
    };
    callbacks.timeline = [&daemon](std::optional<common::hybrid_time> since, std::size_t limit, bool) {
        auto page = daemon.timeline.query(since, limit, deadline_after(control_timeout));
        host_timeline own{daemon.settings.identity.host, page.has_value(), {}};
        if (page) {
            own.page = std::move(*page);
        }
        return std::vector<host_timeline>{std::move(own)};
    };
    callbacks.status = [&daemon] {
        daemon_status status;
        status.host = daemon.settings.identity.host;
        status.failure_domain = daemon.settings.identity.failure_domain;
        status.ready = ready_for_calls(daemon);
        status.stopping = daemon.stopping;
        if (const auto mesh = daemon.mesh.load()) {
            status.alive = mesh->count(membership::member_state::alive);
            status.suspect = mesh->count(membership::member_state::suspect);
            status.dead = mesh->count(membership::member_state::dead);
        }
        return status;
    };
    callbacks.accounts = [&daemon]() -> std::optional<accounts::accounts_summary> {
        const common::reply_slot<accounts::accounts_summary> reply;
        const bool asked = daemon.forwarder->post(forwarding::summarize_accounts{reply});
        return asked ? reply.wait_until(deadline_after(control_timeout)) : std::nullopt;
    };
    callbacks.metrics = [&daemon] { return daemon.metrics.render(common::steady_clock::now()); };
    callbacks.watch = [&daemon](open_watch watch) { return daemon.watch->ring().try_push(std::move(watch)); };
    if (daemon.rollout) {
        callbacks.rollouts = [&daemon] {
            overview_requested request;
            const auto reply = request.reply;
            if (!daemon.rollout->ring().try_push(std::move(request))) {
                return std::optional<std::vector<rollout_overview>>();
            }
            return reply.wait_until(deadline_after(control_timeout));
        };
    }
    return callbacks;
}

tl::expected<std::unique_ptr<web::http_server>, std::string>
open_listener(document_pipeline::components& daemon, const http_listener_settings& listener,
              web::http_server::handler serve) {
    return open_http_listener(daemon.metrics, daemon.settings.limits.header_bytes, listener,
                              std::move(serve));
}

} // namespace

tl::expected<void, std::string> open_http_listeners(document_pipeline::components& daemon) {
    const settings::listener_settings& listeners = daemon.settings.listeners;
    daemon.host = std::make_unique<platform::host_frontend>(make_host_callbacks(daemon));
    auto opened =
        open_listener(daemon, {"target", listeners.target, host_threads, host_read_timeout},
                      [&daemon](web::server_exchange& exchange) { daemon.host->serve_target(exchange); });
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    daemon.target_server = std::move(*opened);
    if (listeners.readiness) {
        opened = open_listener(
            daemon, {"readiness", *listeners.readiness, host_threads, host_read_timeout},
            [&daemon](web::server_exchange& exchange) { daemon.host->serve_readiness(exchange); });
        if (!opened) {
            return tl::unexpected(opened.error());
        }
        daemon.readiness_server = std::move(*opened);
    }
    operator_frontend_settings frontend_settings;
    frontend_settings.max_body_bytes = daemon.settings.limits.operator_body_bytes;
    daemon.operators = std::make_unique<operator_frontend>(frontend_settings, make_operator_callbacks(daemon),
                                                           daemon.events);
    opened =
        open_listener(daemon, {"operators", listeners.operators, operator_threads, operator_read_timeout},
                      [&daemon](web::server_exchange& exchange) { daemon.operators->serve(exchange); });
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    daemon.operator_server = std::move(*opened);
    return {};
}

} // namespace boragehollow::daemon
