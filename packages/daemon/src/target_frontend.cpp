#include "boragehollow/daemon/target_frontend.hpp"

#include "boragehollow/codec/json_reader.hpp"
#include "boragehollow/config/validation.hpp"

#include <array>
#include <utility>

namespace boragehollow::daemon {

namespace {

using membership::target_state;

constexpr std::size_t max_announcement_bytes = 16'384;
constexpr std::uint32_t max_slots = 10'000;
constexpr std::size_t max_labels = 16;

/// A member entry with its target has to fit into a datagram together with the names and addresses of its
/// host.
constexpr std::size_t max_label_bytes = 400;
constexpr std::chrono::seconds reply_timeout{1};

std::optional<target_state> parse_state(const std::string& name) {
    if (name == "starting") {
        return target_state::starting;
    }
    if (name == "ready") {
        return target_state::ready;
    }
    if (name == "draining") {
        return target_state::draining;
    }
    if (name == "gone") {
        return target_state::gone;
    }
    return std::nullopt;
}

bool labels_fit(const std::map<std::string, std::string>& labels) {
    std::size_t bytes = 0;
    for (const auto& [key, value] : labels) {
        bytes += key.size() + value.size();
    }
    return labels.size() <= max_labels && bytes <= max_label_bytes;
}

tl::expected<announcement, codec::json_errors> parse_announcement(std::string_view body,
                                                                  std::string_view remote_address) {
    auto document = codec::parse_json(body);
    if (!document) {
        return tl::unexpected(codec::json_errors{document.error()});
    }
    codec::json_errors faults;
    codec::object_reader reader(*document, "", faults);
    announcement result;
    std::uint32_t port = 0;
    result.target.slots = 1;
    result.target.state = target_state::ready;
    reader.required("service", result.target.service);
    reader.required("port", port);
    reader.optional("slots", result.target.slots);
    reader.optional("labels", result.target.labels);
    reader.optional_name("state", result.target.state, parse_state);
    reader.take("load"); // Ignored, since the daemon counts running calls itself.
    if (port == 0 || port > 65'535) {
        reader.fail(codec::json_error_kind::out_of_range, "port", "is not a valid port");
    }
    if (result.target.slots == 0 || result.target.slots > max_slots) {
        reader.fail(codec::json_error_kind::out_of_range, "slots", "must be from 1 to 10000");
    }
    if (!result.target.service.empty() && !config::is_valid_name(result.target.service)) {
        reader.fail(codec::json_error_kind::bad_value, "service", "is not a valid name");
    }
    if (!labels_fit(result.target.labels)) {
        reader.fail(codec::json_error_kind::out_of_range, "labels",
                    "must be at most 16, with at most 400 bytes together");
    }
    reader.finish();
    if (!faults.empty()) {
        return tl::unexpected(std::move(faults));
    }
    result.address = {std::string(remote_address), static_cast<std::uint16_t>(port)};
    return result;
}

std::string errors_body(const codec::json_errors& faults) {
    codec::json list = codec::json::array();
    for (const codec::json_error& fault : faults) {
        list.push_back({{"field", fault.field}, {"detail", fault.detail}});
    }
    return codec::dump_json({{"error", "invalid_announcement"}, {"faults", list}}) + "\n";
}

} // namespace

target_frontend_duty::target_frontend_duty(target_frontend_settings settings, target_sink on_changed,
                                           const telemetry::event_log& events)
    : m_settings(settings), m_on_changed(std::move(on_changed)), m_events(events), m_ring(settings.ring_size),
      m_thread("target_front", [this](const std::stop_token&) { run(); }) {}

target_frontend_duty::~target_frontend_duty() {
    stop();
}

void target_frontend_duty::stop() {
    m_ring.close();
    m_thread.join();
}

void target_frontend_duty::run() {
    while (true) {
        const common::steady_time check = common::steady_clock::now() + m_settings.heartbeat;
        auto message = m_ring.pop_until(check);
        const common::steady_time now = common::steady_clock::now();
        if (message) {
            std::visit([&](auto& concrete) { handle(concrete, now); }, *message);
        } else if (m_ring.is_closed()) {
            return;
        }
        check_silence(now);
    }
}

void target_frontend_duty::handle(const announcement_received& message, common::steady_time now) {
    m_last_heartbeat = now;
    announcement content = message.content;
    if (m_draining && content.target.state == target_state::ready) {
        content.target.state = target_state::draining;
    }
    const bool gone = content.target.state == target_state::gone;
    set_current(gone ? std::nullopt : std::optional<announcement>(content));
    message.reply.set(!gone && content.target.state != target_state::draining);
}

void target_frontend_duty::handle(const start_target_drain&, common::steady_time) {
    m_draining = true;
    if (!m_current) {
        return;
    }
    announcement draining = *m_current;
    draining.target.state = target_state::draining;
    set_current(std::move(draining));
}

void target_frontend_duty::handle(const query_target& message, common::steady_time) {
    message.reply.set(m_current);
}

void target_frontend_duty::check_silence(common::steady_time now) {
    if (!m_current || now - m_last_heartbeat <= m_settings.heartbeat * m_settings.missed_heartbeats) {
        return;
    }
    m_events.emit(telemetry::event_number::target_silent,
                  {{"service", m_current->target.service}, {"silence", now - m_last_heartbeat}});
    set_current(std::nullopt);
}

void target_frontend_duty::set_current(std::optional<announcement> next) {
    const bool same = m_current.has_value() == next.has_value() &&
                      (!next || (m_current->target == next->target && m_current->address == next->address));
    if (same) {
        return;
    }
    if (next) {
        const bool draining = next->target.state == target_state::draining;
        m_events.emit(draining ? telemetry::event_number::target_draining
                               : telemetry::event_number::target_announced,
                      {{"service", next->target.service},
                       {"address", common::to_string(next->address)},
                       {"slots", next->target.slots}});
    }
    m_current = std::move(next);
    m_on_changed(m_current);
}

void target_frontend::serve(web::server_exchange& exchange) {
    const web::header_list json_type{{"Content-Type", "application/json"}};
    if (exchange.path() != "/v1/target" || exchange.method() != "POST") {
        exchange.respond(404, json_type, "{\"error\":\"not_found\"}\n");
        return;
    }
    if (exchange.has_ambiguous_length()) {
        exchange.respond(400, json_type, "{\"error\":\"ambiguous_length\"}\n");
        return;
    }
    const auto body = exchange.read_all(max_announcement_bytes);
    if (!body && body.error().kind != web::web_error_kind::too_large) {
        exchange.respond(400, json_type, "{\"error\":\"body_incomplete\"}\n");
        return;
    }
    if (!body) {
        exchange.respond(413, json_type, "{\"error\":\"body_too_large\"}\n");
        return;
    }
    auto parsed = parse_announcement(*body, exchange.remote_address());
    if (!parsed) {
        exchange.respond(400, json_type, errors_body(parsed.error()));
        return;
    }
    announcement_received message{std::move(*parsed), {}};
    const auto reply = message.reply;
    if (!m_duty.ring().try_push(target_frontend_message(std::move(message)))) {
        exchange.respond(503, json_type, "{\"error\":\"busy\"}\n");
        return;
    }
    const auto accepting = reply.wait_until(common::steady_clock::now() + reply_timeout);
    if (!accepting) {
        exchange.respond(503, json_type, "{\"error\":\"busy\"}\n");
        return;
    }
    exchange.respond(200, json_type, codec::dump_json({{"accepting", *accepting}}) + "\n");
}

} // namespace boragehollow::daemon
