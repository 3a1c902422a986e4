#include "boragehollow/daemon/caller_frontend.hpp"

#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/web/query.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace boragehollow::daemon {

namespace {

using peer::call_failure;
using peer::call_outcome;

/// Size of the part of a body that is buffered for another attempt, and of the chunks in which the rest is
/// forwarded.
constexpr std::size_t body_chunk = 65'536;

constexpr std::string_view deadline_header = "boragehollow-deadline-ms";
constexpr std::string_view caller_header = "boragehollow-caller";
constexpr std::string_view idempotency_key_header = "Idempotency-Key";
constexpr std::size_t max_idempotency_key_bytes = 256;

call_failure make_refusal(std::string reason, std::string detail) {
    return {call_outcome::not_run, std::move(reason), std::move(detail), {}};
}

/// Dot segments could take a path out of the prefix that its route matched.
bool has_dot_segments(std::string_view path) {
    return path.find("/../") != std::string_view::npos || path.find("/./") != std::string_view::npos ||
           path.ends_with("/..") || path.ends_with("/.");
}

/// Returns why a path is invalid, or an empty string. Checks the decoded form, since a target may decode
/// escapes before it splits the path into segments, and may treat a backslash as a slash.
std::string path_error(std::string_view path) {
    std::optional<std::string> decoded = web::percent_decode(path);
    if (!decoded) {
        return "the path has an invalid escape";
    }
    if (decoded->find('\0') != std::string::npos) {
        return "the path has a null byte";
    }
    std::replace(decoded->begin(), decoded->end(), '\\', '/');
    return has_dot_segments(*decoded) ? "the path has dot segments" : "";
}

bool is_safe_method(std::string_view method) {
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

std::optional<std::chrono::milliseconds> remaining_time_of(const web::server_exchange& exchange) {
    const auto text = exchange.header_value(deadline_header);
    if (!text) {
        return std::nullopt;
    }
    std::int64_t count = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), count);
    if (error != std::errc() || end != text->data() + text->size() || count < 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(count);
}

call_failure match_failure(const routing::match_error& error) {
    return std::visit(
        common::overloaded{[](const routing::no_route&) {
                               return make_refusal("no_route", "no route matches host and path");
                           },
                           [](const routing::method_not_allowed&) {
                               return make_refusal("method_not_allowed", "no route matches the method");
                           }},
        error);
}

std::string new_call_id() {
    thread_local common::random_source random = common::random_source::from_system();
    return random.identifier();
}

/// Reads the next chunk of the body. Returns nothing when the caller ended the body early.
std::optional<peer::call_request_part> read_part(web::server_exchange& exchange) {
    peer::call_request_part part;
    part.data.resize(body_chunk);
    std::size_t filled = 0;
    while (filled < body_chunk) {
        const auto count = exchange.read(std::span(part.data).subspan(filled));
        if (!count) {
            return std::nullopt;
        }
        if (*count == 0) {
            part.end = true;
            break;
        }
        filled += *count;
    }
    part.data.resize(filled);
    return part;
}

} // namespace

caller_frontend::caller_frontend(caller_frontend_settings settings, const serving_state& state,
                                 const common::shared_snapshot<routing::route_table>& routes,
                                 call_runner& runner, telemetry::metric_registry& metrics)
    : m_settings(settings), m_state(state), m_routes(routes), m_runner(runner),
      m_refused(metrics.add_counter("boragehollow_calls_refused_total",
                                    "Calls refused before a target was chosen")) {}

std::optional<call_failure> caller_frontend::refusal(const web::server_exchange& exchange) const {
    if (m_state.stopping) {
        return make_refusal("draining", "the daemon is stopping");
    }
    if (!m_state.ready) {
        return make_refusal("not_ready", "the daemon has no current configuration yet");
    }
    if (exchange.has_ambiguous_length()) {
        return make_refusal("bad_request", "the length of the body is ambiguous");
    }
    if (std::string fault = path_error(exchange.path()); !fault.empty()) {
        return make_refusal("bad_request", std::move(fault));
    }
    if (exchange.header_value(idempotency_key_header).value_or("").size() > max_idempotency_key_bytes) {
        return make_refusal("bad_request", "the idempotency key is longer than 256 bytes");
    }
    return std::nullopt;
}

void caller_frontend::serve(web::server_exchange& exchange) {
    const auto routes = m_routes.load();
    const common::revision version =
        routes && routes->snapshot() ? routes->snapshot()->version : common::revision{};
    caller_response response(exchange, version);
    if (const auto failure = refusal(exchange)) {
        m_refused.add();
        if (m_state.stopping) {
            exchange.abort();
        }
        response.fail(*failure);
        return;
    }
    const std::string_view host = exchange.header_value("Host").value_or("");
    const auto matched = routes->match(host, exchange.path(), exchange.method());
    if (!matched) {
        m_refused.add();
        response.fail(match_failure(matched.error()));
        return;
    }
    incoming_call call = make_call(exchange, *matched);
    if (exchange.has_body()) {
        auto first = read_part(exchange);
        if (!first) {
            m_refused.add();
            response.fail(make_refusal("bad_request", "the body ended early"));
            return;
        }
        call.buffered_body = std::move(first->data);
        call.body_complete = first->end || exchange.content_length() == call.buffered_body.size();
    }
    m_runner.run(
        call, [&] { return read_part(exchange); }, response);
}

incoming_call caller_frontend::make_call(const web::server_exchange& exchange,
                                         const routing::matched_route& matched) {
    incoming_call call;
    const config::route& route = *matched.route;
    std::chrono::milliseconds allowed = std::min(route.deadline, m_settings.longest_deadline);
    if (const auto remaining = remaining_time_of(exchange)) {
        allowed = std::min(allowed, *remaining);
    }
    call.deadline = common::steady_clock::now() + allowed;
    peer::call_head& head = call.head;
    head.call_id = new_call_id();
    head.service = route.service;
    head.method = exchange.method();
    head.target_path = exchange.target();
    for (web::header& entry : web::end_to_end_headers(exchange.headers())) {
        if (web::equal_names(entry.name, deadline_header) ||
            web::equal_names(entry.name, "boragehollow-call-id")) {
            continue;
        }
        head.headers.emplace_back(std::move(entry.name), std::move(entry.value));
    }
    head.work = route.work;
    head.idempotent = route.idempotent || is_safe_method(exchange.method());
    if (const auto key = exchange.header_value(idempotency_key_header); key && !key->empty()) {
        head.idempotency_key = std::string(*key);
    }
    head.caller = exchange.header_value(caller_header).value_or(exchange.remote_address());
    head.deadline = common::wall_now() + allowed;
    head.has_body = exchange.has_body();
    head.content_length = exchange.content_length();
    head.config_version = matched.snapshot->version;
    return call;
}

} // namespace boragehollow::daemon
