#include "boragehollow/forwarding/forwarder.hpp"

#include "boragehollow/common/scope_guard.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::forwarding {

namespace {

using std::chrono::milliseconds;
using telemetry::event_number;

/// Interval at which idle connections and caller timeouts are checked. The shortest timeout is a few seconds.
constexpr milliseconds maintenance_interval{500};

/// Time for the coroutines to finish on shutdown. Non-idempotent calls are not cancelled and may take
/// longer; they are aborted when the process exits.
constexpr milliseconds max_shutdown_time{100};

/// Delay before the next accept after a failed one, or while the listener has as many connections as it may.
constexpr milliseconds accept_retry_delay{20};

/// Timeout for the handler of a control request; the requesting daemon waits no longer.
constexpr std::chrono::seconds control_reply_timeout{2};

/// Interval of the event about a full ring while a message waits for space.
constexpr std::chrono::seconds full_ring_report_interval{1};

constexpr std::string_view control_path_prefix = "/boragehollow.control/";

/// Limits for connections of other daemons: those of the callers, plus room for the mesh headers.
config::caller_limits peer_limits(const config::caller_limits& callers) {
    constexpr std::size_t max_mesh_header_bytes = 8 * 1024;
    config::caller_limits limits = callers;
    limits.header_bytes += max_mesh_header_bytes;
    // Longer than the idle time of the daemons' connection pools, so that the client side closes first and no
    // connection is closed while a request is in flight.
    limits.idle_timeout = std::chrono::seconds(20);
    return limits;
}

/// Retry-After of a refusal for memory. Transfers that hold it without progress are ended within this time.
constexpr std::chrono::seconds memory_retry_after{2};

resources::connection_limit_settings caller_limits_of(const connection_settings& settings) {
    return {settings.max_callers, settings.max_callers_per_address};
}

router_settings with_memory(router_settings settings, std::shared_ptr<memory_ledger> memory) {
    settings.memory = std::move(memory);
    return settings;
}

/// Rule by which this daemon's calls choose the version.
balancing::version_rule version_rule_of(const rollout::plan& current) {
    constexpr double permille = 1'000;
    balancing::version_rule rule;
    rule.version = current.version;
    rule.share = current.share_permille / permille;
    const rollout::stage stage = current.position.current;
    rule.others_in_use = stage != rollout::stage::completing && stage != rollout::stage::completed;
    rule.withheld = current.withheld;
    if (stage == rollout::stage::observing) {
        rule.hosts.emplace();
        for (const auto& [host, allowance] : current.allowances) {
            rule.hosts->insert(host);
        }
    }
    return rule;
}

quota::account_limits limits_of(const accounts::account_index& index) {
    quota::account_limits limits;
    for (const config::client_account& account : index.accounts()) {
        if (account.rate_per_second > 0) {
            limits.emplace(account.name, quota::account_limit{account.rate_per_second, account.burst});
        }
    }
    return limits;
}

response_message control_response(std::optional<std::string> body) {
    response_message response{body ? http::status::ok : http::status::service_unavailable, 11};
    if (body) {
        response.body() = shared_bytes(std::move(*body));
    }
    response.prepare_payload();
    return response;
}

} // namespace

forwarder::forwarder(const forwarder_settings& settings, forwarder_sinks sinks,
                     const telemetry::event_log& events, telemetry::metric_registry& metrics)
    : m_settings(settings), m_sinks(std::move(sinks)), m_events(events), m_metrics(metrics),
      m_memory(std::make_shared<memory_ledger>(settings.memory, events, metrics)), m_ring(settings.ring_size),
      m_handover_time(metrics.add_latency("boragehollow_config_handover_seconds",
                                          "From the activation of a configuration to its use for calls")),
      m_load(metrics), m_accounts(settings.router.names), m_account_calls(metrics),
      m_target(
          m_context, settings.router.host, settings.router.names, m_accounts, settings.admission,
          settings.link_megabits, events, [this] { m_sinks.target_unreachable(); }, m_memory),
      m_control_pool(m_context, m_memory),
      m_quota(m_context, m_control_pool, settings.router.host, events, metrics),
      m_router(
          m_context, with_memory(settings.router, m_memory), m_accounts, m_account_calls, m_quota, m_target,
          common::random_source::from_system(), events, metrics, m_load,
          [this](const common::endpoint& peer, common::revision version) {
              m_sinks.newer_config(peer, version);
          },
          [this](const common::endpoint& peer) { m_sinks.newer_plan(peer); }),
      m_caller_acceptor(m_context), m_peer_acceptor(m_context),
      m_callers("callers", caller_limits_of(settings.connections), events, metrics),
      m_peers("peers", {settings.connections.max_peers, settings.connections.max_peers}, events, metrics),
      m_maintenance_timer(m_context) {
    m_target.version_gate().set_max_unconfirmed(settings.max_unconfirmed_plan);
    metrics.add_ring("forwarder", [this] { return m_ring.stats(); });
    metrics.add_computed_gauge("boragehollow_open_calls", "Calls that are open on this daemon", {},
                               [this] { return static_cast<double>(m_open_calls.load()); });
}

tl::expected<std::unique_ptr<forwarder>, std::string> forwarder::start(const forwarder_settings& settings,
                                                                       forwarder_sinks sinks,
                                                                       const telemetry::event_log& events,
                                                                       telemetry::metric_registry& metrics) {
    std::unique_ptr<forwarder> created(new forwarder(settings, std::move(sinks), events, metrics));
    auto opened = created->open(created->m_caller_acceptor, settings.callers, created->m_caller_endpoint);
    if (opened) {
        opened = created->open(created->m_peer_acceptor, settings.peers, created->m_peer_endpoint);
    }
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    forwarder& self = *created;
    self.m_thread.emplace("forwarder", [&self](const std::stop_token&) { self.run(); });
    return created;
}

forwarder::~forwarder() {
    stop();
}

void forwarder::stop() {
    if (!m_thread) {
        return;
    }
    m_ring.close();
    m_context.stop();
    m_thread->join();
    m_thread.reset();
    finish_coroutines();
}

/// Runs the coroutines to their end while the objects that they use still exist.
void forwarder::finish_coroutines() {
    error_code ignored;
    m_caller_acceptor.close(ignored);
    m_peer_acceptor.close(ignored);
    m_callers.close_all();
    m_peers.close_all();
    m_stopped = true;
    m_maintenance_timer.cancel();
    m_quota.stop();
    m_context.restart();
    m_context.run_for(max_shutdown_time);
    m_memory->stop();
}

tl::expected<void, std::string> forwarder::open(tcp::acceptor& acceptor, const common::endpoint& listen,
                                                common::endpoint& bound) {
    error_code error;
    const auto address = asio::ip::make_address(listen.address, error);
    if (error) {
        return tl::unexpected(common::to_string(listen) + " is not a valid address");
    }
    const tcp::endpoint local(address, listen.port);
    acceptor.open(local.protocol(), error);
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(local, error);
    }
    if (!error) {
        acceptor.listen(tcp::acceptor::max_listen_connections, error);
    }
    if (error) {
        return tl::unexpected("cannot listen on " + common::to_string(listen) + ": " + error.message());
    }
    bound = {listen.address, acceptor.local_endpoint().port()};
    return {};
}

bool forwarder::post(forwarder_message message) {
    if (!m_ring.try_push(std::move(message))) {
        m_events.emit(event_number::ring_overflow, {{"ring", "forwarder"}});
        return false;
    }
    wake();
    return true;
}

void forwarder::deliver(const forwarder_message& message) {
    while (!m_ring.push_until(message, common::steady_clock::now() + full_ring_report_interval)) {
        if (m_ring.is_closed()) {
            return;
        }
        m_events.emit(event_number::ring_overflow, {{"ring", "forwarder"}});
    }
    wake();
}

/// One wake-up handles all messages that are posted before it runs.
void forwarder::wake() {
    if (!m_wake_pending.exchange(true)) {
        asio::post(m_context, [this] { process_messages(); });
    }
}

void forwarder::process_messages() {
    m_wake_pending = false;
    while (auto message = m_ring.pop_until(common::steady_clock::now())) {
        std::visit([this](auto& concrete) { handle(concrete); }, *message);
    }
}

std::shared_ptr<const session_callbacks> forwarder::caller_callbacks() {
    auto callers = std::make_shared<session_callbacks>();
    callers->handle = [this](request_message request, request_context context) {
        return serve_caller(std::move(request), std::move(context));
    };
    callers->may_pipeline = [this](const request_message& request) { return m_router.may_pipeline(request); };
    callers->limits = [this] { return m_limits; };
    callers->draining_connections = [this] { return m_draining_connections.load(); };
    callers->pending_responses_changed = [this](int difference) {
        m_unwritten_responses += static_cast<std::size_t>(difference);
    };
    callers->refuse_for_memory = [this](const request_message& request) {
        const beast::string_view id_header = beast_view(m_settings.router.names.request_id);
        response_message response{http::status::service_unavailable, 11};
        if (request.find(id_header) != request.end()) {
            response.set(id_header, request[id_header]);
        }
        // Jittered, so that callers do not retry at the same time.
        const double seconds = static_cast<double>(memory_retry_after.count()) + m_random.fraction();
        response.set(http::field::retry_after, std::to_string(seconds));
        response.prepare_payload();
        return response;
    };
    callers->memory = m_memory;
    return callers;
}

std::shared_ptr<const session_callbacks> forwarder::peer_callbacks() {
    auto peers = std::make_shared<session_callbacks>();
    peers->handle = [this](request_message request, request_context context) {
        return serve_peer(std::move(request), std::move(context));
    };
    peers->may_pipeline = [](const request_message&) { return false; };
    peers->limits = [this] { return peer_limits(m_limits); };
    peers->draining_connections = [] { return false; };
    peers->pending_responses_changed = [this](int difference) {
        m_unwritten_responses += static_cast<std::size_t>(difference);
    };
    peers->refuse_for_memory = [this](const request_message&) {
        return m_target.refuse_unreceived(memory_retry_after);
    };
    peers->memory = m_memory;
    return peers;
}

void forwarder::run() {
    asio::co_spawn(m_context, accept(m_caller_acceptor, m_callers, caller_callbacks()), asio::detached);
    asio::co_spawn(m_context, accept(m_peer_acceptor, m_peers, peer_callbacks()), asio::detached);
    asio::co_spawn(m_context, run_maintenance(), asio::detached);
    m_context.run();
}

asio::awaitable<void> forwarder::accept(tcp::acceptor& acceptor, listener_connections& connections,
                                        std::shared_ptr<const session_callbacks> callbacks) {
    while (acceptor.is_open()) {
        error_code error;
        if (!connections.has_room()) {
            co_await acceptor.async_wait(tcp::acceptor::wait_read, redirect_error_to(error));
            if (error || !connections.make_room(common::steady_clock::now())) {
                asio::steady_timer room_timer(m_context, accept_retry_delay);
                co_await room_timer.async_wait(redirect_error_to(error));
            }
            continue;
        }
        tcp::socket socket(m_context);
        co_await acceptor.async_accept(socket, redirect_error_to(error));
        if (!acceptor.is_open()) {
            co_return;
        }
        if (error) {
            asio::steady_timer retry_timer(m_context, accept_retry_delay);
            co_await retry_timer.async_wait(redirect_error_to(error));
            continue;
        }
        connections.add(std::move(socket), callbacks);
    }
}

asio::awaitable<void> forwarder::run_maintenance() {
    while (true) {
        m_maintenance_timer.expires_after(maintenance_interval);
        error_code ignored;
        co_await m_maintenance_timer.async_wait(redirect_error_to(ignored));
        if (m_stopped) {
            co_return;
        }
        const common::steady_time now = common::steady_clock::now();
        m_callers.maintain(now);
        m_peers.maintain(now);
        m_target.close_expired(now);
        m_router.close_expired(now);
        m_control_pool.close_expired(now);
        m_load.set_target(m_target.status());
    }
}

asio::awaitable<session_response> forwarder::serve_caller(request_message request, request_context context) {
    ++m_open_calls;
    const common::scope_guard decrement_open_calls([this] { --m_open_calls; });
    session_response response;
    response.message = co_await m_router.handle(std::move(request), std::move(context));
    co_return response;
}

asio::awaitable<session_response> forwarder::serve_peer(request_message request, request_context context) {
    session_response response;
    if (view_of(request.target()).starts_with(control_path_prefix)) {
        response.message = co_await serve_control(std::move(request));
        co_return response;
    }
    auto call = extract_call_metadata(request);
    if (!call) {
        response.message.result(http::status::bad_request);
        response.message.prepare_payload();
        co_return response;
    }
    if (call->transfer_bytes) {
        response.message = m_target.reserve_transfer(*call, *call->transfer_bytes);
        co_return response;
    }
    ++m_open_calls;
    const common::scope_guard decrement_open_calls([this] { --m_open_calls; });
    remove_hop_by_hop_headers(request);
    // A non-idempotent call continues when the connection to the caller's daemon is lost: the caller may
    // still learn its outcome.
    const cancellation_ptr target_cancellation =
        call->idempotent ? context.cancelled : std::make_shared<cancellation>();
    response = co_await m_target.run(std::move(*call), std::move(request), target_cancellation);
    co_return response;
}

asio::awaitable<response_message> forwarder::serve_control(request_message request) {
    struct reply_state {
        explicit reply_state(asio::io_context& context) : reply_timer(context, control_reply_timeout) {}
        asio::steady_timer reply_timer; ///< Cancelled when the reply arrives.
        std::optional<std::string> body;
    };
    const auto state = std::make_shared<reply_state>(m_context);
    const std::string path(view_of(request.target()).substr(control_path_prefix.size()));
    if (path == quota_tokens_path) {
        co_return control_response(m_quota.serve(request.body().to_string()));
    }
    m_sinks.control_request(path, request.body().to_string(), [this, state](std::optional<std::string> body) {
        asio::post(m_context, [state, body = std::move(body)]() mutable {
            state->body = std::move(body);
            state->reply_timer.cancel();
        });
    });
    error_code ignored;
    co_await state->reply_timer.async_wait(redirect_error_to(ignored));
    co_return control_response(std::move(state->body));
}

asio::awaitable<void> forwarder::exchange_control_request(send_control_request request) {
    request_message message{http::verb::post, std::string(control_path_prefix) + request.path, 11};
    message.set(http::field::host, common::to_string(request.peer));
    message.body() = shared_bytes(std::move(request.body));
    message.prepare_payload();
    exchange_options options;
    options.deadline = common::steady_clock::now() + request.timeout;
    const auto never_cancelled = std::make_shared<cancellation>();
    auto response = co_await m_control_pool.exchange(request.peer, std::move(message), std::move(options),
                                                     never_cancelled);
    if (!response || response->result() != http::status::ok) {
        const std::string detail =
            response ? "status " + std::to_string(response->result_int()) : response.error().detail;
        m_events.emit(
            event_number::peer_request_failed,
            {{"peer", common::to_string(request.peer)}, {"request", request.path}, {"detail", detail}});
        request.on_reply(std::nullopt);
        co_return;
    }
    request.on_reply(response->body().to_string());
}

void forwarder::handle(configuration_changed& message) {
    const common::steady_time now = common::steady_clock::now();
    m_handover_time.record(now - message.activated, now);
    m_limits = message.limits;
    m_quota.set_limits(message.accounts ? limits_of(*message.accounts) : quota::account_limits(),
                       message.routes->snapshot()->version);
    if (message.accounts) {
        m_account_calls.set_index(*message.accounts);
    }
    m_accounts.set_index(std::move(message.accounts));
    m_target.set_config_version(message.routes->snapshot()->version);
    if (const auto own_service = message.routes->find_service(m_settings.router.service)) {
        m_target.set_policy(own_service->policy->admission);
    }
    m_router.set_routes(std::move(message.routes), now);
    m_has_configuration = true;
}

void forwarder::handle(targets_changed& message) {
    const common::steady_time now = common::steady_clock::now();
    for (const service_targets& service : message.services) {
        const auto ready_targets =
            std::ranges::count_if(service.targets, [](const balancing::target_view& target) {
                return target.state == balancing::target_state::ready && !target.lost();
            });
        m_metrics
            .add_gauge("boragehollow_known_targets", "Targets that take calls",
                       {{"service", service.service}})
            .set(ready_targets);
        m_router.targets().update_targets(service.service, service.targets, now);
    }
    m_knows_targets = m_knows_targets || message.complete;
}

void forwarder::handle(local_instance_changed& message) {
    const std::string service = message.instance ? message.instance->service : std::string();
    m_target.set_instance(std::move(message.instance));
    // The plan may have arrived before the target.
    const auto plan = m_rollout_plans.find(service);
    if (plan != m_rollout_plans.end() && !m_target.version_gate().make_report()) {
        m_target.version_gate().set_plan(plan->second, common::steady_clock::now());
    }
}

void forwarder::handle(send_control_request& message) {
    asio::co_spawn(m_context, exchange_control_request(std::move(message)), asio::detached);
}

void forwarder::handle(const drain_local_target&) {
    m_target.start_drain();
}

void forwarder::handle(quota_members& message) {
    m_quota.set_members(std::move(message));
}

void forwarder::handle(const summarize_accounts& message) {
    const auto& index = m_accounts.index();
    message.reply.set(index ? m_account_calls.summarize(*index, common::steady_clock::now())
                            : accounts::accounts_summary{});
}

void forwarder::handle(const rollout_plan_changed& message) {
    const rollout::plan& current = message.current;
    m_rollout_plans[current.service] = current;
    m_target.version_gate().set_plan(current, common::steady_clock::now());
    m_router.targets().set_version_rule(current.service, version_rule_of(current));
}

void forwarder::handle(const rollout_plan_removed& message) {
    m_rollout_plans.erase(message.service);
    m_target.version_gate().remove_plan(message.service);
    m_router.targets().set_version_rule(message.service, std::nullopt);
}

void forwarder::handle(const rollout_report_requested& message) {
    message.on_report(m_target.version_gate().make_report());
}

void forwarder::handle(const stop_accepting& message) {
    m_router.refuse_calls_beyond(message.end);
    error_code ignored;
    m_caller_acceptor.close(ignored);
    m_callers.close_idle();
    m_peers.close_idle();
}

} // namespace boragehollow::forwarding
