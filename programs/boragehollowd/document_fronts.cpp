#include "document_fronts.hpp"

#include "http_sources.hpp"

#include <utility>

namespace boragehollow::daemon {

namespace {

using telemetry::event_number;

constexpr std::size_t host_threads = 2;
constexpr std::size_t operator_threads = 3;
constexpr std::chrono::milliseconds host_silence{4'000};

platform::host_front_services host_services(document_pipeline::parts& all) {
    platform::host_front_services services;
    services.announce = [&all](admission::instance_announcement announcement) {
        instance_announced message{std::move(announcement), {}};
        const auto reply = message.reply;
        if (!all.instance->ring().try_push(instance_message(std::move(message)))) {
            return std::optional<admission::ledger_verdict>();
        }
        return reply.wait_until(after(control_wait));
    };
    services.leave = [&all](const std::string& id, std::uint64_t incarnation) {
        instance_left message{id, incarnation, {}};
        const auto reply = message.reply;
        return all.instance->ring().try_push(instance_message(std::move(message))) &&
               reply.wait_until(after(control_wait)).value_or(false);
    };
    services.ready = [&all] { return all.forwarder->has_configuration() && !all.stopping; };
    services.unreadable = [&all](const std::string& detail) {
        all.events.emit(event_number::target_announcement_invalid, {{"detail", detail}});
    };
    return services;
}

operator_services services_for_operators(document_pipeline::parts& all) {
    operator_services services;
    services.publish = [](const config::change&) -> publish_result {
        return change_not_appended{"the configuration of this mesh is the platform's document"};
    };
    services.snapshot = [&all] { return all.snapshot.load(); };
    services.progress = [&all](common::revision version) {
        mesh_progress progress{version, {}};
        domain_progress own{all.settings.identity.failure_domain, false, 0, 0};
        if (const auto counts = all.membership->progress(version, after(control_wait))) {
            own.answered = true;
            own.members = counts->members;
            own.in_force = counts->at_or_past;
        }
        progress.domains.push_back(std::move(own));
        return progress;
    };
    services.timeline = [&all](std::optional<common::hybrid_time> since, std::size_t limit, bool) {
        auto page = all.timeline.query(since, limit, after(control_wait));
        host_timeline own{all.settings.identity.host, page.has_value(), {}};
        if (page) {
            own.page = std::move(*page);
        }
        return std::vector<host_timeline>{std::move(own)};
    };
    services.status = [&all] {
        daemon_status status;
        status.host = all.settings.identity.host;
        status.failure_domain = all.settings.identity.failure_domain;
        status.ready = all.forwarder->has_configuration();
        status.stopping = all.stopping;
        if (const auto mesh = all.mesh.load()) {
            status.alive = mesh->count(membership::member_state::alive);
            status.suspect = mesh->count(membership::member_state::suspect);
            status.dead = mesh->count(membership::member_state::dead);
        }
        return status;
    };
    services.metrics = [&all] { return all.metrics.render(common::steady_clock::now()); };
    services.watch = [&all](open_watch watch) { return all.watch->ring().try_push(std::move(watch)); };
    return services;
}

tl::expected<std::unique_ptr<web::http_server>, std::string>
open_front(document_pipeline::parts& all, const http_source& source, web::http_server::handler serve) {
    return open_http(all.metrics, all.settings.limits.header_bytes, source, std::move(serve));
}

} // namespace

tl::expected<void, std::string> open_http_sources(document_pipeline::parts& all) {
    const settings::listener_settings& listeners = all.settings.listeners;
    all.host = std::make_unique<platform::host_front>(host_services(all));
    auto opened = open_front(all, {"target", listeners.target, host_threads, host_silence},
                             [&all](web::server_exchange& exchange) { all.host->serve_target(exchange); });
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    all.target_server = std::move(*opened);
    if (listeners.readiness) {
        opened = open_front(all, {"readiness", *listeners.readiness, host_threads, host_silence},
                            [&all](web::server_exchange& exchange) { all.host->serve_readiness(exchange); });
        if (!opened) {
            return tl::unexpected(opened.error());
        }
        all.readiness_server = std::move(*opened);
    }
    operator_front_settings front_settings;
    front_settings.max_body_bytes = all.settings.limits.operator_body_bytes;
    all.operators = std::make_unique<operator_front>(front_settings, services_for_operators(all), all.events);
    opened = open_front(all, {"operators", listeners.operators, operator_threads, operator_silence},
                        [&all](web::server_exchange& exchange) { all.operators->serve(exchange); });
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    all.operator_server = std::move(*opened);
    return {};
}

} // namespace boragehollow::daemon
