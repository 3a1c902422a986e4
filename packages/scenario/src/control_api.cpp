#include "control_api.hpp"

#include "boragehollow/web/http_client.hpp"

#include <charconv>
#include <cstdint>
#include <exception>
#include <utility>

#include <nlohmann/json.hpp>

namespace boragehollow::scenario::control_api {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::chrono::milliseconds control_timeout = 2s;

/// Service time of the stand-in target for a request that does not state one.
constexpr std::chrono::milliseconds default_target_work = 5ms;
constexpr std::chrono::milliseconds default_slow_work = 100ms;
constexpr std::chrono::milliseconds default_slow_platform = 500ms;

/// Count for faults that a stand-in counts down; larger than the number of requests in any scenario.
constexpr std::uint32_t until_restored = 1'000'000;

/// Longer than the other requests, since a change waits for the append to the platform log, which may be
/// slow.
constexpr std::chrono::milliseconds change_timeout = 15s;

std::string describe(const web::web_error& error) {
    return std::string(to_string(error.kind)) + ": " + error.detail;
}

std::string describe(const web::client_response& response) {
    return std::to_string(response.status) + " " + response.body.substr(0, 400);
}

result<web::client_response> request(const common::endpoint& server, std::string_view method,
                                     std::string_view path, std::string_view body,
                                     std::chrono::milliseconds timeout) {
    web::header_list headers;
    if (!body.empty()) {
        headers.push_back({"Content-Type", "application/json"});
    }
    auto response = web::fetch(server, method, path, headers, body, timeout);
    if (!response) {
        return tl::unexpected(describe(response.error()));
    }
    return std::move(*response);
}

/// Returns the body of a response with status 200, and an error for any other status.
result<std::string> read_body(const common::endpoint& server, std::string_view path,
                              std::chrono::milliseconds timeout) {
    auto response = request(server, "GET", path, {}, timeout);
    if (!response) {
        return tl::unexpected(response.error());
    }
    if (response->status != 200) {
        return tl::unexpected(describe(*response));
    }
    return std::move(response->body);
}

/// Runs a conversion and returns exceptions of the JSON library as an error.
template <class Convert>
auto catch_json_errors(std::string_view what, const Convert& convert) -> result<decltype(convert())> {
    try {
        return convert();
    } catch (const json::exception& error) {
        return tl::unexpected(std::string(what) + ": " + error.what());
    }
}

std::string plain_text(const json& value) {
    return value.is_string() ? value.get<std::string>() : value.dump();
}

json empty_change(const std::string& change_id) {
    return {{"change_id", change_id}, {"author", "scenario"}, {"operations", json::array()}};
}

/// Returns 1203 for `BH1203`, and 0 for a text of another form.
std::uint16_t event_number_of(std::string_view code) {
    std::uint16_t number = 0;
    if (code.starts_with("BH")) {
        std::from_chars(code.data() + 2, code.data() + code.size(), number);
    }
    return number;
}

/// Switches of the stand-in target for a fault mode.
result<json> target_switches(const std::string& mode, std::optional<std::chrono::milliseconds> delay) {
    if (mode == "drain" || mode == "shed") {
        return json{{mode, true}};
    }
    if (mode == "slow") {
        const auto slowed = delay.value_or(default_slow_work);
        return json{{"slow_factor", static_cast<double>(slowed.count()) / default_target_work.count()}};
    }
    if (mode == "lie") {
        return json{{"lie", {{"in_use", 0}, {"queued", 0}}}, {"state", "ready"}};
    }
    if (mode == "die-mid-body") {
        return json{{"die_next", until_restored}};
    }
    if (mode == "restore") {
        return json{{"slow_factor", 1.0}, {"shed", false},  {"drain", false},
                    {"die_next", 0},      {"lie", nullptr}, {"state", nullptr}};
    }
    return tl::unexpected("unknown target fault '" + mode + "'");
}

/// Switches of the stand-in platform log for a fault mode.
result<json> platform_switches(const std::string& mode, std::optional<std::chrono::milliseconds> delay) {
    if (mode == "outage") {
        return json{{"outage", true}};
    }
    if (mode == "slow") {
        return json{{"slow_ms", delay.value_or(default_slow_platform).count()}};
    }
    if (mode == "lose-answers") {
        return json{{"lose_answers", until_restored}};
    }
    if (mode == "restore") {
        return json{{"outage", false}, {"slow_ms", 0}, {"lose_answers", 0}};
    }
    return tl::unexpected("unknown platform log fault '" + mode + "'");
}

result<void> set_switches(const common::endpoint& server, std::string_view path,
                          const result<json>& switches) {
    if (!switches) {
        return tl::unexpected(switches.error());
    }
    const auto response = request(server, "POST", path, switches->dump(), control_timeout);
    if (!response) {
        return tl::unexpected(response.error());
    }
    if (response->status / 100 != 2) {
        return tl::unexpected(describe(*response));
    }
    return {};
}

common::wall_time parse_wall_time(const json& microseconds) {
    return common::wall_time(std::chrono::microseconds(microseconds.get<std::int64_t>()));
}

} // namespace

bool healthy(const common::endpoint& operators, std::chrono::milliseconds timeout) {
    const auto response = request(operators, "GET", "/healthz", {}, timeout);
    return response && response->status == 200;
}

result<daemon_sample> read_status(const std::string& daemon, const common::endpoint& operators,
                                  std::chrono::milliseconds timeout) {
    const auto body = read_body(operators, "/v1/status", timeout);
    if (!body) {
        return tl::unexpected(body.error());
    }
    return catch_json_errors("status", [&] {
        const json document = json::parse(*body);
        daemon_sample sample;
        sample.daemon = daemon;
        sample.at = common::wall_now();
        sample.ready = document.at("ready").get<bool>();
        sample.version = document.at("version").get<std::uint64_t>();
        sample.digest = plain_text(document.at("digest"));
        sample.members_alive = document.at("members_alive").get<std::size_t>();
        return sample;
    });
}

result<std::vector<telemetry::timeline_event>> read_timeline(const common::endpoint& operators) {
    const auto body = read_body(operators, "/v1/timeline?scope=local&limit=8192", control_timeout);
    if (!body) {
        return tl::unexpected(body.error());
    }
    return catch_json_errors("timeline", [&] {
        const json document = json::parse(*body);
        std::vector<telemetry::timeline_event> events;
        for (const json& item : document.at("events")) {
            telemetry::timeline_event event;
            event.at = {parse_wall_time(item.at("wall_us")), item.at("counter").get<std::uint32_t>()};
            event.host = item.at("host").get<std::string>();
            event.number = event_number_of(item.at("event").get<std::string>());
            event.level = item.value("level", "");
            event.channel = item.value("component", "");
            event.text = item.value("message", "");
            const json fields = item.value("fields", json::object());
            for (const auto& [name, value] : fields.items()) {
                event.fields[name] = plain_text(value);
            }
            events.push_back(std::move(event));
        }
        return events;
    });
}

result<void> block_links(const common::endpoint& operators, const std::vector<std::string>& addresses) {
    const json body{{"blocked", addresses}};
    const auto response = request(operators, "POST", "/v1/testing/links", body.dump(), control_timeout);
    if (!response) {
        return tl::unexpected(response.error());
    }
    if (response->status / 100 != 2) {
        return tl::unexpected(describe(*response));
    }
    return {};
}

result<std::string> change_from_document(std::string_view document, const std::string& change_id) {
    const json parsed = json::parse(document, nullptr, false);
    if (parsed.is_discarded()) {
        return tl::unexpected(std::string("the document is not valid JSON"));
    }
    return catch_json_errors("document", [&] {
        json change = empty_change(change_id);
        if (parsed.is_object() && parsed.contains("operations")) {
            change["operations"] = parsed.at("operations");
            return change.dump();
        }
        json resources = parsed;
        if (parsed.is_object()) {
            resources = parsed.contains("resources") ? parsed.at("resources") : json::array({parsed});
        }
        for (const json& resource : resources) {
            change["operations"].push_back({{"put", resource}});
        }
        return change.dump();
    });
}

std::string change_that_deletes(const std::string& kind, const std::string& name,
                                const std::string& change_id) {
    json change = empty_change(change_id);
    change["operations"].push_back({{"delete", {{"kind", kind}, {"name", name}}}});
    return change.dump();
}

result<change_response> post_change(const common::endpoint& operators, const std::string& change) {
    const auto response = request(operators, "POST", "/v1/changes", change, change_timeout);
    if (!response) {
        return tl::unexpected(response.error());
    }
    return catch_json_errors("change", [&] {
        change_response outcome;
        outcome.text = describe(*response);
        const json document = json::parse(response->body, nullptr, false);
        if (!document.is_object() || !document.contains("verdict")) {
            outcome.outcome_known = response->status / 100 == 4;
            return outcome;
        }
        outcome.outcome_known = true;
        outcome.accepted = document.at("verdict").get<std::string>() == "accepted";
        outcome.duplicate = document.value("reason", "") == "duplicate";
        outcome.version = document.at("revision").get<std::uint64_t>();
        return outcome;
    });
}

result<void> set_target_fault(const common::endpoint& target, const std::string& mode,
                              std::optional<std::chrono::milliseconds> delay) {
    return set_switches(target, "/switches", target_switches(mode, delay));
}

result<void> set_platform_fault(const common::endpoint& platform, const std::string& mode,
                                std::optional<std::chrono::milliseconds> delay) {
    return set_switches(platform, "/v1/switches", platform_switches(mode, delay));
}

result<std::vector<ledger_entry>> read_ledger(const common::endpoint& target) {
    const auto body = read_body(target, "/ledger", control_timeout);
    if (!body) {
        return tl::unexpected(body.error());
    }
    return catch_json_errors("ledger", [&] {
        const json document = json::parse(*body);
        std::vector<ledger_entry> entries;
        for (const json& item : document.at("entries")) {
            entries.push_back({item.at("request_id").get<std::string>(), item.value("method", ""),
                               parse_wall_time(item.at("start_us"))});
        }
        return entries;
    });
}

} // namespace boragehollow::scenario::control_api
