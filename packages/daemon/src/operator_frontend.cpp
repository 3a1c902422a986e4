#include "boragehollow/daemon/operator_frontend.hpp"

#include "operator_json.hpp"

#include "boragehollow/common/random_source.hpp"
#include "boragehollow/config/limits.hpp"
#include "boragehollow/config/names.hpp"
#include "boragehollow/web/query.hpp"

#include <charconv>
#include <utility>

namespace boragehollow::daemon {

namespace {

using codec::json;

constexpr std::chrono::milliseconds watch_poll_interval{500};
constexpr std::chrono::seconds watch_heartbeat_interval{5};
constexpr std::size_t default_timeline_limit = 1'000;
constexpr std::size_t max_timeline_limit = 10'000;

std::optional<std::uint64_t> parse_number(const std::string& text) {
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::uint64_t> number_parameter(const web::server_exchange& exchange, const std::string& name) {
    const auto parameters = web::parse_query(exchange.query());
    const auto found = parameters.find(name);
    return found == parameters.end() ? std::nullopt : parse_number(found->second);
}

std::string text_parameter(const web::server_exchange& exchange, const std::string& name) {
    const auto parameters = web::parse_query(exchange.query());
    const auto found = parameters.find(name);
    return found == parameters.end() ? std::string() : found->second;
}

std::optional<common::revision> expected_revision(const web::server_exchange& exchange) {
    const auto value = number_parameter(exchange, "expected_revision");
    return value ? std::optional<common::revision>(common::revision{*value}) : std::nullopt;
}

std::string change_id_of(const web::server_exchange& exchange) {
    std::string given = text_parameter(exchange, "change_id");
    if (!given.empty()) {
        return given;
    }
    thread_local common::random_source random = common::random_source::from_system();
    return random.identifier();
}

std::string author_of(const web::server_exchange& exchange) {
    return text_parameter(exchange, "author");
}

json resources_json(const config::config_snapshot& snapshot, std::optional<config::resource_kind> kind) {
    json list = json::array();
    for (const auto& [key, stored] : snapshot.resources) {
        if (kind && key.kind != *kind) {
            continue;
        }
        list.push_back(codec::to_json(stored));
    }
    return {{"version", snapshot.version.value}, {"resources", std::move(list)}};
}

/// True when some of the outcomes from `from` on are no longer retained.
bool watch_needs_snapshot(const config::config_snapshot& snapshot, std::uint64_t from) {
    if (snapshot.outcomes().empty()) {
        return from <= snapshot.version.value;
    }
    const common::revision oldest = (*snapshot.outcomes().begin()).first;
    return from < oldest.value && snapshot.outcomes().size() >= config::max_outcomes;
}

void respond_body_error(web::server_exchange& exchange, const web::web_error& error) {
    if (error.kind == web::web_error_kind::too_large) {
        respond_not_run(exchange, 413, "too_large", error.detail);
        return;
    }
    respond_not_run(exchange, 400, "bad_request", error.detail);
}

} // namespace

operator_frontend::operator_frontend(operator_frontend_settings settings, operator_callbacks callbacks,
                                     const telemetry::event_log& events)
    : m_settings(settings), m_callbacks(std::move(callbacks)), m_events(events) {}

void operator_frontend::serve(web::server_exchange& exchange) {
    if (exchange.has_ambiguous_length()) {
        respond_not_run(exchange, 400, "bad_request", "the length of the body is ambiguous");
        return;
    }
    const std::vector<std::string> segments = web::path_segments(exchange.path());
    const std::string first = segments.empty() ? "" : segments[0];
    const std::string second = first == "v1" && segments.size() > 1 ? segments[1] : "";
    if (first == "healthz") {
        serve_health(exchange);
    } else if (first == "metrics") {
        serve_metrics(exchange);
    } else if (second == "changes") {
        serve_changes(exchange, segments);
    } else if (second == "resources") {
        serve_resources(exchange, segments);
    } else if (second == "status") {
        serve_status(exchange);
    } else if (second == "accounts") {
        serve_accounts(exchange);
    } else if (second == "timeline") {
        serve_timeline(exchange);
    } else if (second == "watch") {
        serve_watch(exchange);
    } else if (second == "testing") {
        serve_links(exchange);
    } else {
        respond_not_run(exchange, 404, "not_found", "unknown path");
    }
}

void operator_frontend::serve_health(web::server_exchange& exchange) const {
    const daemon_status status = m_callbacks.status();
    const bool healthy = status.ready && !status.stopping;
    respond_json(exchange, healthy ? 200 : 503, {{"state", state_name(status)}});
}

void operator_frontend::serve_metrics(web::server_exchange& exchange) const {
    exchange.respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_callbacks.metrics());
}

void operator_frontend::serve_changes(web::server_exchange& exchange,
                                      const std::vector<std::string>& segments) {
    if (segments.size() == 3 && exchange.method() == "GET") {
        const auto snapshot = m_callbacks.snapshot();
        const auto* outcome = snapshot ? snapshot->outcome_of(segments[2]) : nullptr;
        if (outcome == nullptr) {
            respond_not_run(exchange, 404, "not_found", "no outcome of a change with this id is retained");
            return;
        }
        respond_json(exchange, 200, codec::to_json(*outcome));
        return;
    }
    if (segments.size() != 2 || exchange.method() != "POST") {
        respond_not_run(exchange, 405, "method_not_allowed", "POST /v1/changes or GET /v1/changes/{id}");
        return;
    }
    const auto body = exchange.read_all(m_settings.max_body_bytes);
    if (!body) {
        respond_body_error(exchange, body.error());
        return;
    }
    auto document = codec::parse_json(*body);
    if (!document) {
        respond_errors(exchange, {document.error()});
        return;
    }
    const auto change = codec::from_json<config::change>(*document);
    if (!change) {
        respond_errors(exchange, change.error());
        return;
    }
    publish(exchange, *change);
}

void operator_frontend::serve_resources(web::server_exchange& exchange,
                                        const std::vector<std::string>& segments) {
    if (segments.size() < 4) {
        if (exchange.method() != "GET") {
            respond_not_run(exchange, 405, "method_not_allowed", "GET lists resources");
            return;
        }
        list_resources(exchange, segments.size() == 3 ? segments[2] : "");
        return;
    }
    const auto kind = config::parse_resource_kind(segments[2]);
    if (!kind || segments.size() != 4) {
        respond_not_run(exchange, 404, "not_found", "kinds are route, service_policy and target_rule");
        return;
    }
    const config::resource_key key{*kind, segments[3]};
    if (exchange.method() == "GET") {
        get_resource(exchange, key);
    } else if (exchange.method() == "PUT") {
        put_resource(exchange, key);
    } else if (exchange.method() == "DELETE") {
        delete_resource(exchange, key);
    } else {
        respond_not_run(exchange, 405, "method_not_allowed", "GET, PUT or DELETE");
    }
}

void operator_frontend::list_resources(web::server_exchange& exchange, const std::string& kind_name) const {
    const auto kind = config::parse_resource_kind(kind_name);
    if (!kind_name.empty() && !kind) {
        respond_not_run(exchange, 404, "not_found", "kinds are route, service_policy and target_rule");
        return;
    }
    const auto snapshot = m_callbacks.snapshot();
    respond_json(exchange, 200, resources_json(snapshot ? *snapshot : config::config_snapshot(), kind));
}

void operator_frontend::get_resource(web::server_exchange& exchange, const config::resource_key& key) const {
    const auto snapshot = m_callbacks.snapshot();
    const auto* stored = snapshot ? snapshot->find(key) : nullptr;
    if (stored == nullptr) {
        respond_not_run(exchange, 404, "not_found", "no resource with this kind and name");
        return;
    }
    respond_json(exchange, 200, codec::to_json(*stored));
}

void operator_frontend::put_resource(web::server_exchange& exchange, const config::resource_key& key) {
    const auto body = exchange.read_all(m_settings.max_body_bytes);
    if (!body) {
        respond_body_error(exchange, body.error());
        return;
    }
    auto document = codec::parse_json(*body);
    if (!document) {
        respond_errors(exchange, {document.error()});
        return;
    }
    const auto value = codec::from_json<config::resource>(*document);
    if (!value) {
        respond_errors(exchange, value.error());
        return;
    }
    if (config::key_of(*value) != key) {
        respond_not_run(exchange, 400, "bad_request", "kind or name differ from the path");
        return;
    }
    config::change change{change_id_of(exchange), author_of(exchange), config::newest_known_schema, {}};
    change.operations.emplace_back(config::put_operation{*value, expected_revision(exchange)});
    publish(exchange, change);
}

void operator_frontend::delete_resource(web::server_exchange& exchange, const config::resource_key& key) {
    config::change change{change_id_of(exchange), author_of(exchange), config::newest_known_schema, {}};
    change.operations.emplace_back(config::delete_operation{key, expected_revision(exchange)});
    publish(exchange, change);
}

void operator_frontend::publish(web::server_exchange& exchange, const config::change& change) {
    const publish_result result = m_callbacks.publish(change);
    if (const auto* decided = std::get_if<change_decided>(&result)) {
        const bool accepted = std::holds_alternative<config::accepted>(decided->result);
        m_events.emit(
            accepted ? telemetry::event_number::operator_change_accepted
                     : telemetry::event_number::operator_change_rejected,
            {{"change_id", change.change_id}, {"revision", decided->at.value}, {"author", change.author}});
    } else if (std::holds_alternative<change_unknown>(result)) {
        m_events.emit(telemetry::event_number::operator_change_unknown, {{"change_id", change.change_id}});
    }
    respond_published(exchange, change, result);
}

void operator_frontend::serve_status(web::server_exchange& exchange) const {
    const auto snapshot = m_callbacks.snapshot();
    const auto revision = number_parameter(exchange, "revision");
    const common::revision version =
        revision ? common::revision{*revision} : (snapshot ? snapshot->version : common::revision{});
    respond_json(exchange, 200,
                 status_json(m_callbacks.status(), snapshot.get(), m_callbacks.progress(version)));
}

void operator_frontend::serve_accounts(web::server_exchange& exchange) const {
    if (!m_callbacks.accounts) {
        respond_not_run(exchange, 404, "not_found", "the configuration of this mesh has no accounts");
        return;
    }
    const auto summary = m_callbacks.accounts();
    if (!summary) {
        respond_not_run(exchange, 503, "overloaded", "the daemon did not reply in time");
        return;
    }
    respond_json(exchange, 200, accounts_json(*summary));
}

void operator_frontend::serve_timeline(web::server_exchange& exchange) const {
    const auto since = number_parameter(exchange, "since_us");
    const auto limit = std::min<std::uint64_t>(
        number_parameter(exchange, "limit").value_or(default_timeline_limit), max_timeline_limit);
    const auto parameters = web::parse_query(exchange.query());
    const auto scope = parameters.find("scope");
    const bool whole_mesh = scope == parameters.end() || scope->second != "local";
    std::optional<common::hybrid_time> from;
    if (since) {
        from = common::hybrid_time{common::wall_time(std::chrono::microseconds(*since)), 0};
    }
    respond_json(exchange, 200, timeline_json(m_callbacks.timeline(from, limit, whole_mesh)));
}

void operator_frontend::serve_watch(web::server_exchange& exchange) {
    const auto snapshot = m_callbacks.snapshot();
    const common::revision current = snapshot ? snapshot->version : common::revision{};
    const std::uint64_t from = number_parameter(exchange, "from").value_or(current.value + 1);
    const auto outcomes = std::make_shared<watch_ring>(m_settings.watch_ring_size);
    if (!m_callbacks.watch({common::revision{from == 0 ? 0 : from - 1}, outcomes})) {
        respond_not_run(exchange, 503, "overloaded", "too many watches are being opened");
        return;
    }
    m_events.emit(telemetry::event_number::operator_watch_opened, {{"from", from}});
    bool open = exchange.begin_response(200, {{"Content-Type", "application/x-ndjson"}}, std::nullopt);
    if (open && snapshot && watch_needs_snapshot(*snapshot, from)) {
        open =
            exchange.write(codec::dump_json({{"snapshot", resources_json(*snapshot, std::nullopt)}}) + "\n");
    }
    common::steady_time next_heartbeat = common::steady_clock::now();
    while (open && !m_stopping) {
        const auto outcome = outcomes->pop_until(common::steady_clock::now() + watch_poll_interval);
        const common::steady_time now = common::steady_clock::now();
        if (outcome) {
            open = exchange.write(codec::dump_json(codec::to_json(*outcome)) + "\n");
        } else if (outcomes->is_closed()) {
            break;
        } else if (now >= next_heartbeat) {
            // An empty line tells the client that the connection is alive, and detects a client that has
            // disconnected.
            next_heartbeat = now + watch_heartbeat_interval;
            open = exchange.write("\n");
        }
    }
    exchange.finish_response();
    m_events.emit(telemetry::event_number::operator_watch_closed, {});
}

void operator_frontend::serve_links(web::server_exchange& exchange) {
    if (!m_callbacks.block_links) {
        m_events.emit(telemetry::event_number::testing_refused, {});
        respond_not_run(exchange, 403, "forbidden", "testing.allow_fault_injection is false");
        return;
    }
    const auto body = exchange.read_all(m_settings.max_body_bytes);
    auto document = codec::parse_json(body ? *body : "");
    if (!document || !document->is_object() || !(*document)["blocked"].is_array()) {
        respond_not_run(exchange, 400, "bad_request", "expected {\"blocked\": [\"ADDRESS:PORT\", ...]}");
        return;
    }
    std::set<common::endpoint> blocked;
    for (const json& entry : (*document)["blocked"]) {
        const auto parsed = common::parse_endpoint(entry.is_string() ? entry.get<std::string>() : "");
        if (!parsed) {
            respond_not_run(exchange, 400, "bad_request", parsed.error());
            return;
        }
        blocked.insert(*parsed);
    }
    const bool any_blocked = !blocked.empty();
    m_events.emit(any_blocked ? telemetry::event_number::testing_links_blocked
                              : telemetry::event_number::testing_links_restored,
                  {{"links", blocked.size()}});
    m_callbacks.block_links(std::move(blocked));
    respond_json(exchange, 200, {{"blocked", (*document)["blocked"].size()}});
}

} // namespace boragehollow::daemon
