#include "requests.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace boragehollow::platform_log {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view streams_prefix = "/v1/streams/";
constexpr std::string_view records_suffix = "/records";
constexpr std::uint64_t max_wait_ms = 60'000;

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

log_request parse_read_request(const std::string& stream, std::string_view query) {
    streams::read_request request{stream, streams::revision{1}, 1'024, milliseconds(0)};
    while (!query.empty()) {
        const std::string_view item = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), item.size() + 1));
        const std::size_t equals = item.find('=');
        const auto number =
            equals == std::string_view::npos ? std::nullopt : parse_number(item.substr(equals + 1));
        if (!number) {
            return invalid_request{400, "'" + std::string(item) + "' is not NAME=NUMBER"};
        }
        const std::string_view name = item.substr(0, equals);
        if (name == "from") {
            request.from = streams::revision{std::max<std::uint64_t>(1, *number)};
        } else if (name == "max") {
            request.max_records = std::max<std::size_t>(1, *number);
        } else if (name == "wait_ms") {
            request.wait = milliseconds(std::min(*number, max_wait_ms));
        }
    }
    return read_records_request{std::move(request)};
}

nlohmann::json to_json(const std::map<std::string, streams::log_counters>& table) {
    nlohmann::json result = nlohmann::json::object();
    for (const auto& [name, counters] : table) {
        result[name] = {{"reads", counters.reads},
                        {"appends", counters.appends},
                        {"refused", counters.refused},
                        {"bytes_read", counters.bytes_read},
                        {"bytes_appended", counters.bytes_appended}};
    }
    return result;
}

} // namespace

log_request parse_request(std::string_view method, std::string_view path, std::string_view query) {
    if (path == "/v1/switches") {
        return method == "POST" ? log_request(set_switches_request{})
                                : log_request(invalid_request{405, "use POST"});
    }
    if (path == "/v1/counters") {
        return method == "GET" ? log_request(counters_request{})
                               : log_request(invalid_request{405, "use GET"});
    }
    const bool stream_path = path.starts_with(streams_prefix) && path.ends_with(records_suffix) &&
                             path.size() > streams_prefix.size() + records_suffix.size();
    if (!stream_path) {
        return invalid_request{404, "no such path"};
    }
    const std::string stream(
        path.substr(streams_prefix.size(), path.size() - streams_prefix.size() - records_suffix.size()));
    if (method == "POST") {
        return append_request{stream};
    }
    return method == "GET" ? parse_read_request(stream, query)
                           : log_request(invalid_request{405, "use GET or POST"});
}

tl::expected<streams::memory_log_switches, std::string> parse_switches(std::string_view body,
                                                                       streams::memory_log_switches current) {
    const auto object = nlohmann::json::parse(body, nullptr, false);
    if (!object.is_object()) {
        return tl::unexpected(std::string("the body is not a JSON object"));
    }
    for (const auto& [name, value] : object.items()) {
        if (name == "outage" && value.is_boolean()) {
            current.outage = value.get<bool>();
        } else if (name == "slow_ms" && value.is_number_unsigned()) {
            current.slow = milliseconds(value.get<std::uint64_t>());
        } else if (name == "lose_answers" && value.is_number_unsigned()) {
            current.lose_answers = value.get<std::uint32_t>();
        } else {
            return tl::unexpected("'" + name + "' is not a switch, or has a value of the wrong type");
        }
    }
    return current;
}

std::string counters_json(const streams::all_log_counters& counters) {
    return nlohmann::json{{"streams", to_json(counters.by_stream)}, {"clients", to_json(counters.by_client)}}
        .dump();
}

} // namespace boragehollow::platform_log
