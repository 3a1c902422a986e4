#include "boragehollow/daemon/operator_front.hpp"

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

constexpr std::chrono::milliseconds watch_poll{500};
constexpr std::chrono::seconds watch_heartbeat{5};
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

/// `?expected=N`, or the header If-Match with the revision.
std::optional<common::revision> expected_revision(const web::server_exchange& exchange) {
    if (const auto value = number_parameter(exchange, "expected")) {
        return common::revision{*value};
    }
    std::string tag(exchange.header_value("If-Match").value_or(""));
    std::erase(tag, '"');
    const auto value = parse_number(tag);
    return value ? std::optional<common::revision>(common::revision{*value}) : std::nullopt;
}

std::string change_id_of(const web::server_exchange& exchange) {
    const auto given = exchange.header_value("Idempotency-Key");
    if (given && !given->empty()) {
        return std::string(*given);
    }
    thread_local common::random_source random = common::random_source::from_system();
    return random.identifier();
}

std::string author_of(const web::server_exchange& exchange) {
    return std::string(exchange.header_value("boragehollow-author").value_or("operator"));
}

} // namespace

operator_front::operator_front(operator_front_settings settings, operator_services services,
                               const telemetry::event_log& events)
    : m_settings(settings), m_services(std::move(services)), m_events(events) {}

void operator_front::serve(web::server_exchange& exchange) {
    const std::vector<std::string> segments = web::path_segments(exchange.path());
    const std::string first = segments.empty() ? "" : segments[0];
    const std::string second = segments.size() > 1 ? segments[1] : "";
    if (first == "healthz") {
        serve_health(exchange);
    } else if (first == "metrics") {
        serve_metrics(exchange);
    } else if (first != "v1") {
        respond_error(exchange, 404, "not_found", "unknown path");
    } else if (second == "changes") {
        serve_changes(exchange, segments);
    } else if (second == "resources") {
        serve_resources(exchange, segments);
    } else if (second == "status") {
        serve_status(exchange);
    } else if (second == "timeline") {
        serve_timeline(exchange);
    } else if (second == "watch") {
        serve_watch(exchange);
    } else if (second == "testing") {
        serve_links(exchange);
    } else {
        respond_error(exchange, 404, "not_found", "unknown path");
    }
}

void operator_front::serve_health(web::server_exchange& exchange) const {
    const daemon_status status = m_services.status();
    const auto snapshot = m_services.snapshot();
    const bool healthy = status.ready && !status.stopping;
    respond_json(exchange, healthy ? 200 : 503,
                 {{"ready", status.ready},
                  {"stopping", status.stopping},
                  {"version", snapshot ? snapshot->version.value : 0}});
}

void operator_front::serve_metrics(web::server_exchange& exchange) const {
    exchange.respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_services.metrics());
}

void operator_front::serve_changes(web::server_exchange& exchange, const std::vector<std::string>& segments) {
    if (segments.size() == 3 && exchange.method() == "GET") {
        const auto snapshot = m_services.snapshot();
        const auto* outcome = snapshot ? snapshot->outcome_of(segments[2]) : nullptr;
        if (outcome == nullptr) {
            respond_error(exchange, 404, "not_found", "no change with this id is remembered");
            return;
        }
        respond_json(exchange, 200,
                     {{"outcome", codec::to_json(*outcome)}, {"progress", progress_json(m_services.progress(outcome->at))}});
        return;
    }
    if (segments.size() != 2 || exchange.method() != "POST") {
        respond_error(exchange, 405, "method_not_allowed", "POST /v1/changes or GET /v1/changes/{id}");
        return;
    }
    const auto body = exchange.read_all(m_settings.max_body_bytes);
    if (!body) {
        respond_error(exchange, 413, "body_too_large", body.error().detail);
        return;
    }
    auto document = codec::parse_json(*body);
    if (!document) {
        respond_faults(exchange, {document.error()});
        return;
    }
    if (document->is_object() && !document->contains("change_id")) {
        (*document)["change_id"] = change_id_of(exchange);
    }
    if (document->is_object() && !document->contains("author")) {
        (*document)["author"] = author_of(exchange);
    }
    const auto change = codec::from_json<config::change>(*document);
    if (!change) {
        respond_faults(exchange, change.error());
        return;
    }
    publish(exchange, *change);
}

void operator_front::serve_resources(web::server_exchange& exchange, const std::vector<std::string>& segments) {
    if (segments.size() < 4) {
        if (exchange.method() != "GET") {
            respond_error(exchange, 405, "method_not_allowed", "GET lists resources");
            return;
        }
        list_resources(exchange, segments.size() == 3 ? segments[2] : "");
        return;
    }
    const auto kind = config::parse_resource_kind(segments[2]);
    if (!kind || segments.size() != 4) {
        respond_error(exchange, 404, "not_found", "kinds are route, service_policy and target_rule");
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
        respond_error(exchange, 405, "method_not_allowed", "GET, PUT or DELETE");
    }
}

void operator_front::list_resources(web::server_exchange& exchange, const std::string& kind_name) const {
    const auto kind = config::parse_resource_kind(kind_name);
    if (!kind_name.empty() && !kind) {
        respond_error(exchange, 404, "not_found", "kinds are route, service_policy and target_rule");
        return;
    }
    const auto snapshot = m_services.snapshot();
    json list = json::array();
    if (snapshot) {
        for (const auto& [key, stored] : snapshot->resources) {
            if (kind && key.kind != *kind) {
                continue;
            }
            list.push_back(codec::to_json(stored));
        }
    }
    respond_json(exchange, 200, {{"version", snapshot ? snapshot->version.value : 0}, {"resources", std::move(list)}});
}

void operator_front::get_resource(web::server_exchange& exchange, const config::resource_key& key) const {
    const auto snapshot = m_services.snapshot();
    const auto* stored = snapshot ? snapshot->find(key) : nullptr;
    if (stored == nullptr) {
        respond_error(exchange, 404, "not_found", "no resource with this kind and name");
        return;
    }
    json body = codec::to_json(*stored);
    body["version"] = snapshot->version.value;
    respond_json(exchange, 200, body);
}

void operator_front::put_resource(web::server_exchange& exchange, const config::resource_key& key) {
    const auto body = exchange.read_all(m_settings.max_body_bytes);
    if (!body) {
        respond_error(exchange, 413, "body_too_large", body.error().detail);
        return;
    }
    auto document = codec::parse_json(*body);
    if (!document) {
        respond_faults(exchange, {document.error()});
        return;
    }
    const auto value = codec::from_json<config::resource>(*document);
    if (!value) {
        respond_faults(exchange, value.error());
        return;
    }
    if (config::key_of(*value) != key) {
        respond_error(exchange, 400, "invalid_body", "kind or name differ from the path");
        return;
    }
    config::change change{change_id_of(exchange), author_of(exchange), config::newest_known_schema, {}};
    change.operations.emplace_back(config::put_operation{*value, expected_revision(exchange)});
    publish(exchange, change);
}

void operator_front::delete_resource(web::server_exchange& exchange, const config::resource_key& key) {
    config::change change{change_id_of(exchange), author_of(exchange), config::newest_known_schema, {}};
    change.operations.emplace_back(config::delete_operation{key, expected_revision(exchange)});
    publish(exchange, change);
}

void operator_front::publish(web::server_exchange& exchange, const config::change& change) {
    const publish_result result = m_services.publish(change);
    if (const auto* judged = std::get_if<change_judged>(&result)) {
        const bool good = std::holds_alternative<config::accepted>(judged->result);
        m_events.emit(good ? telemetry::event_number::operator_change_accepted
                           : telemetry::event_number::operator_change_rejected,
                      {{"change_id", change.change_id}, {"revision", judged->at.value}, {"author", change.author}});
    } else if (std::holds_alternative<change_unknown>(result)) {
        m_events.emit(telemetry::event_number::operator_change_unknown, {{"change_id", change.change_id}});
    }
    respond_published(exchange, change, result);
}

void operator_front::serve_status(web::server_exchange& exchange) const {
    const auto snapshot = m_services.snapshot();
    json body = status_json(m_services.status(), snapshot.get());
    const auto revision = number_parameter(exchange, "revision");
    const common::revision version =
        revision ? common::revision{*revision} : (snapshot ? snapshot->version : common::revision{});
    body["progress"] = progress_json(m_services.progress(version));
    respond_json(exchange, 200, body);
}

void operator_front::serve_timeline(web::server_exchange& exchange) const {
    const auto since = number_parameter(exchange, "since_us");
    const auto limit = std::min<std::uint64_t>(number_parameter(exchange, "limit").value_or(default_timeline_limit),
                                               max_timeline_limit);
    const auto parameters = web::parse_query(exchange.query());
    const auto scope = parameters.find("scope");
    const bool whole_mesh = scope == parameters.end() || scope->second != "local";
    std::optional<common::hybrid_time> from;
    if (since) {
        from = common::hybrid_time{common::wall_time(std::chrono::microseconds(*since)), 0};
    }
    respond_json(exchange, 200, timeline_json(m_services.timeline(from, limit, whole_mesh)));
}

void operator_front::serve_watch(web::server_exchange& exchange) {
    const auto snapshot = m_services.snapshot();
    const common::revision current = snapshot ? snapshot->version : common::revision{};
    const common::revision from{number_parameter(exchange, "from").value_or(current.value)};
    const auto outcomes = std::make_shared<watch_ring>(m_settings.watch_ring_size);
    if (!m_services.watch({from, outcomes})) {
        respond_error(exchange, 503, "busy", "too many requests");
        return;
    }
    m_events.emit(telemetry::event_number::operator_watch_opened, {{"from", from.value}});
    exchange.begin_response(200, {{"Content-Type", "application/x-ndjson"}}, std::nullopt);
    const auto send = [&](const json& line) { return exchange.write(codec::dump_json(line) + "\n"); };
    std::optional<mesh_progress> pending;
    common::steady_time next_heartbeat = common::steady_clock::now();
    bool open = true;
    while (open && !m_stopping) {
        const auto outcome = outcomes->pop_until(common::steady_clock::now() + watch_poll);
        if (outcome) {
            json line = codec::to_json(*outcome);
            line["type"] = "outcome";
            open = send(line);
            if (std::holds_alternative<config::accepted>(outcome->result)) {
                pending = mesh_progress{outcome->at, {}};
            }
        } else if (outcomes->closed()) {
            break;
        }
        if (open && pending) {
            pending = m_services.progress(pending->version);
            json line = progress_json(*pending);
            line["type"] = "progress";
            open = send(line);
            if (pending->everywhere()) {
                pending.reset();
            }
        }
        const common::steady_time now = common::steady_clock::now();
        if (open && now >= next_heartbeat) {
            next_heartbeat = now + watch_heartbeat;
            const auto latest = m_services.snapshot();
            open = send({{"type", "heartbeat"}, {"version", latest ? latest->version.value : 0}});
        }
    }
    exchange.finish_response();
    m_events.emit(telemetry::event_number::operator_watch_closed, {});
}

void operator_front::serve_links(web::server_exchange& exchange) {
    if (!m_services.block_links) {
        m_events.emit(telemetry::event_number::testing_refused, {});
        respond_error(exchange, 403, "forbidden", "testing.allow_fault_injection is false");
        return;
    }
    const auto body = exchange.read_all(m_settings.max_body_bytes);
    auto document = codec::parse_json(body ? *body : "");
    if (!document || !document->is_object() || !(*document)["blocked"].is_array()) {
        respond_error(exchange, 400, "invalid_body", "expected {\"blocked\": [\"ADDRESS:PORT\", ...]}");
        return;
    }
    std::set<common::endpoint> blocked;
    for (const json& entry : (*document)["blocked"]) {
        const auto parsed = common::parse_endpoint(entry.is_string() ? entry.get<std::string>() : "");
        if (!parsed) {
            respond_error(exchange, 400, "invalid_body", parsed.error());
            return;
        }
        blocked.insert(*parsed);
    }
    const bool cut = !blocked.empty();
    m_events.emit(cut ? telemetry::event_number::testing_links_blocked : telemetry::event_number::testing_links_restored,
                  {{"links", blocked.size()}});
    m_services.block_links(std::move(blocked));
    respond_json(exchange, 200, {{"blocked", (*document)["blocked"].size()}});
}

} // namespace boragehollow::daemon
