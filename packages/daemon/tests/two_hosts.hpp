#pragma once

#include "boragehollow/config/config_state.hpp"
#include "boragehollow/daemon/caller_frontend.hpp"
#include "boragehollow/peer/peer_server.hpp"
#include "boragehollow/web/http_client.hpp"

#include <gtest/gtest.h>

#include <array>
#include <string>

namespace boragehollow::daemon::testing {

using namespace std::chrono_literals;

inline peer::peer_identity identity(const std::string& host) {
    return {"test", host, std::make_shared<common::hybrid_clock>()};
}

/// HTTP server that acts as a target.
class fake_target {
public:
    explicit fake_target(web::http_server::handler serve) {
        web::server_options options;
        options.listen = {"127.0.0.1", 0};
        options.worker_threads = 16;
        m_server = std::move(*web::http_server::start(options, std::move(serve)));
    }

    common::endpoint endpoint() const { return m_server->local_endpoint(); }

private:
    std::unique_ptr<web::http_server> m_server;
};

/// Daemon on a target's host, reduced to the parts that serve a call.
class target_daemon {
public:
    target_daemon(const std::string& host, const std::string& service, common::endpoint target,
                  unsigned slots)
        : m_admission({}, 256), m_runner({}, m_admission, m_metrics) {
        m_runner.set_target(std::move(target));
        m_admission.ring().try_push(
            local_target_changed{admission::local_target{service, slots, admission::target_state::ready}});
        peer::peer_handlers handlers;
        handlers.refused = [](const std::string&, const std::string&) {};
        handlers.call = [this](const peer::call_head& head, peer::call_request_part first,
                               peer::call_stream& stream) {
            m_runner.run(
                head, std::move(first), [&] { return stream.read(); },
                [&](const peer::call_reply_part& part) { return stream.write(part); });
        };
        m_server = std::move(*peer::peer_server::start({{"127.0.0.1", 0}, 64}, identity(host), handlers));
    }

    ~target_daemon() { m_server->stop(0ms); }

    common::endpoint endpoint() const { return m_server->local_endpoint(); }
    admission_duty& admission() { return m_admission; }

private:
    telemetry::metric_registry m_metrics;
    admission_duty m_admission;
    target_runner m_runner;
    std::unique_ptr<peer::peer_server> m_server;
};

/// Daemon that accepts callers' requests and has no target of its own.
class caller_daemon {
public:
    explicit caller_daemon(const std::vector<config::resource>& resources)
        : m_dispatch({"zone-a"}, common::random_source(7), 256), m_admission({}, 16),
          m_local({}, m_admission, m_metrics),
          m_runner({"caller-host", 500ms}, m_dispatch, m_local,
                   std::make_shared<peer::channel_pool>(16, m_links), identity("caller-host"), m_metrics),
          m_front({}, m_state, m_routes, m_runner, m_metrics) {
        config::change change{"c1", "test", 1, {}};
        for (const config::resource& value : resources) {
            change.operations.emplace_back(config::put_operation{value, std::nullopt});
        }
        const auto verdict = m_config.apply({1}, change);
        EXPECT_TRUE(verdict && std::holds_alternative<config::accepted>(*verdict));
        m_routes.store(
            std::make_shared<routing::route_table>(routing::route_table::build(m_config.snapshot())));
        m_dispatch.ring().try_push(config_changed{m_config.snapshot()});
        m_state.ready = true;
        web::server_options options;
        options.listen = {"127.0.0.1", 0};
        options.worker_threads = 16;
        m_server = std::move(*web::http_server::start(
            options, [this](web::server_exchange& exchange) { m_front.serve(exchange); }));
    }

    void set_targets(const std::string& service,
                     const std::vector<std::pair<std::string, common::endpoint>>& hosts) {
        membership::target_list list;
        for (const auto& [host, peer] : hosts) {
            membership::target known;
            known.host = host;
            known.failure_domain = "zone-a";
            known.peer = peer;
            known.slots = 4;
            known.state = membership::target_state::ready;
            known.first_seen = common::steady_clock::now() - 10min;
            list.push_back(known);
        }
        membership::target_directory::service_map services;
        services[service] = std::make_shared<const membership::target_list>(std::move(list));
        m_dispatch.ring().try_push(
            targets_changed{std::make_shared<const membership::target_directory>(std::move(services))});
    }

    common::endpoint endpoint() const { return m_server->local_endpoint(); }
    serving_state& state() { return m_state; }

private:
    telemetry::metric_registry m_metrics;
    std::shared_ptr<peer::link_filter> m_links = std::make_shared<peer::link_filter>();
    serving_state m_state;
    common::shared_snapshot<routing::route_table> m_routes;
    config::config_state m_config;
    dispatch_duty m_dispatch;
    admission_duty m_admission;
    target_runner m_local;
    call_runner m_runner;
    caller_frontend m_front;
    std::unique_ptr<web::http_server> m_server;
};

inline std::vector<config::resource> order_desk_resources(bool idempotent, config::work_class work,
                                                          std::chrono::milliseconds deadline) {
    config::service_policy policy;
    policy.name = "order-desk";
    config::route route;
    route.name = "orders";
    route.service = "order-desk";
    route.idempotent = idempotent;
    route.work = work;
    route.deadline = deadline;
    return {policy, route};
}

inline std::string outcome_of(const web::client_response& response) {
    return std::string(web::find_header(response.headers, "boragehollow-outcome").value_or(""));
}

} // namespace boragehollow::daemon::testing
