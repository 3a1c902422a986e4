#include "boragehollow/forwarding/hop_headers.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>
#include <vector>

namespace boragehollow::forwarding {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::string_view service_name = "bh-service";
constexpr std::string_view caller_host_name = "bh-caller-host";
constexpr std::string_view caller_service_name = "bh-caller-service";
constexpr std::string_view request_id_name = "bh-request-id";
constexpr std::string_view work_name = "bh-work";
constexpr std::string_view idempotent_name = "bh-idempotent";
constexpr std::string_view priority_name = "bh-priority";
constexpr std::string_view time_left_name = "bh-time-left-us";
constexpr std::string_view soft_deadline_left_name = "bh-aim-left-us";
constexpr std::string_view accepts_late_name = "bh-accepts-late";
constexpr std::string_view transfer_bytes_name = "bh-transfer-bytes";
constexpr std::string_view begin_after_name = "bh-begin-after-ms";
constexpr std::string_view duration_name = "bh-duration-ms";
constexpr std::string_view version_name = "bh-config-version";
constexpr std::string_view outcome_name = "bh-outcome";
constexpr std::string_view reason_name = "bh-reason";
constexpr std::string_view retry_after_name = "bh-retry-after-ms";
constexpr std::string_view in_use_name = "bh-in-use";
constexpr std::string_view queued_name = "bh-queued";
constexpr std::string_view slots_name = "bh-slots";
constexpr std::string_view service_time_name = "bh-service-time-us";

constexpr std::array outcome_words{
    std::pair{hop_outcome::answered, std::string_view("answered")},
    std::pair{hop_outcome::refused, std::string_view("refused")},
    std::pair{hop_outcome::unsent, std::string_view("unsent")},
    std::pair{hop_outcome::lost, std::string_view("lost")},
    std::pair{hop_outcome::reserved, std::string_view("reserved")},
};

template <class Text>
void set(http::fields& fields, std::string_view name, const Text& value) {
    fields.set(beast_view(name), beast_view(value));
}

void set_number(http::fields& fields, std::string_view name, std::uint64_t value) {
    set(fields, name, std::to_string(value));
}

std::string text_in(const http::fields& fields, std::string_view name) {
    const auto value = fields[beast_view(name)];
    return {value.data(), value.size()};
}

std::optional<hop_outcome> outcome_of(std::string_view word) {
    const auto found = std::ranges::find(outcome_words, word, [](const auto& pair) { return pair.second; });
    return found == outcome_words.end() ? std::nullopt : std::optional(found->first);
}

std::string_view word_of(hop_outcome outcome) {
    return std::ranges::find(outcome_words, outcome, [](const auto& pair) { return pair.first; })->second;
}

} // namespace

std::optional<std::uint64_t> number_in(const http::fields& fields, std::string_view name) {
    const auto field = fields.find(beast_view(name));
    if (field == fields.end()) {
        return std::nullopt;
    }
    const auto value = field->value();
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), number);
    if (value.empty() || parsed.ec != std::errc() || parsed.ptr != value.data() + value.size()) {
        return std::nullopt;
    }
    return number;
}

void remove_hop_headers(http::fields& fields) {
    // All of them begin alike, so that new ones are removed by old daemons too.
    std::vector<std::string> names;
    for (const auto& field : fields) {
        if (beast::iequals(field.name_string().substr(0, 3), "bh-")) {
            names.emplace_back(field.name_string().data(), field.name_string().size());
        }
    }
    for (const std::string& name : names) {
        fields.erase(beast_view(name));
    }
}

void write_hop_call(const hop_call& call, request_message& request) {
    set(request, service_name, call.service);
    set(request, caller_host_name, call.caller_host);
    set(request, caller_service_name, call.caller_service);
    set(request, request_id_name, call.request_id);
    set_number(request, work_name, call.work == config::work_class::long_work ? 1 : 0);
    set_number(request, idempotent_name, call.idempotent ? 1 : 0);
    set_number(request, priority_name, call.priority);
    set_number(request, time_left_name,
               static_cast<std::uint64_t>(std::max<std::int64_t>(0, call.time_left.count())));
    if (call.soft_deadline_left) {
        set_number(request, soft_deadline_left_name,
                   static_cast<std::uint64_t>(std::max<std::int64_t>(0, call.soft_deadline_left->count())));
    }
    set_number(request, accepts_late_name, call.accepts_late ? 1 : 0);
    set_number(request, version_name, call.config_version.value);
    if (call.transfer_bytes) {
        set_number(request, transfer_bytes_name, *call.transfer_bytes);
    }
}

std::optional<hop_call> take_hop_call(request_message& request) {
    const auto work = number_in(request, work_name);
    const auto idempotent = number_in(request, idempotent_name);
    const auto priority = number_in(request, priority_name);
    const auto time_left = number_in(request, time_left_name);
    const auto version = number_in(request, version_name);
    if (!work || !idempotent || !priority || !time_left || !version) {
        return std::nullopt;
    }
    hop_call call;
    call.service = text_in(request, service_name);
    call.caller_host = text_in(request, caller_host_name);
    call.caller_service = text_in(request, caller_service_name);
    call.request_id = text_in(request, request_id_name);
    call.work = *work == 1 ? config::work_class::long_work : config::work_class::short_work;
    call.idempotent = *idempotent == 1;
    call.priority = static_cast<std::uint32_t>(*priority);
    call.time_left = microseconds(*time_left);
    if (const auto soft_deadline_left = number_in(request, soft_deadline_left_name)) {
        call.soft_deadline_left = microseconds(*soft_deadline_left);
    }
    call.accepts_late = number_in(request, accepts_late_name).value_or(1) == 1;
    call.config_version = {*version};
    call.transfer_bytes = number_in(request, transfer_bytes_name);
    if (call.service.empty()) {
        return std::nullopt;
    }
    remove_hop_headers(request);
    return call;
}

void write_hop_report(const hop_report& report, response_message& response) {
    remove_hop_headers(response);
    set(response, outcome_name, word_of(report.outcome));
    if (!report.reason.empty()) {
        set(response, reason_name, report.reason);
    }
    if (report.retry_after.count() > 0) {
        set_number(response, retry_after_name, static_cast<std::uint64_t>(report.retry_after.count()));
    }
    if (report.load) {
        set_number(response, in_use_name, report.load->in_use);
        set_number(response, queued_name, report.load->queued);
        set_number(response, slots_name, report.load->slots);
    }
    set_number(response, service_time_name, static_cast<std::uint64_t>(report.service_time.count()));
    set_number(response, version_name, report.config_version.value);
    if (report.outcome == hop_outcome::reserved) {
        set_number(response, begin_after_name, static_cast<std::uint64_t>(report.window.begin_after.count()));
        set_number(response, duration_name, static_cast<std::uint64_t>(report.window.duration.count()));
    }
}

std::optional<hop_report> take_hop_report(response_message& response) {
    const auto outcome = outcome_of(text_in(response, outcome_name));
    if (!outcome) {
        return std::nullopt;
    }
    hop_report report;
    report.outcome = *outcome;
    report.reason = text_in(response, reason_name);
    report.retry_after = milliseconds(number_in(response, retry_after_name).value_or(0));
    const auto in_use = number_in(response, in_use_name);
    const auto queued = number_in(response, queued_name);
    const auto slots = number_in(response, slots_name);
    if (in_use && queued && slots) {
        report.load = balancing::piggybacked_load{static_cast<std::uint32_t>(*queued),
                                                  static_cast<std::uint32_t>(*in_use),
                                                  static_cast<std::uint32_t>(*slots)};
    }
    report.service_time = microseconds(number_in(response, service_time_name).value_or(0));
    report.config_version = {number_in(response, version_name).value_or(0)};
    report.window = {milliseconds(number_in(response, begin_after_name).value_or(0)),
                     milliseconds(number_in(response, duration_name).value_or(0))};
    remove_hop_headers(response);
    return report;
}

void remove_connection_headers(http::fields& fields) {
    // Headers that `Connection` names belong to the connection as well.
    std::vector<std::string> named;
    for (const auto& token : http::token_list(fields[http::field::connection])) {
        named.emplace_back(token.data(), token.size());
    }
    for (const std::string& name : named) {
        if (beast::iequals(beast_view(name), "close") || beast::iequals(beast_view(name), "keep-alive")) {
            continue;
        }
        fields.erase(beast_view(name));
    }
    static constexpr std::array connection_fields{http::field::connection,
                                                  http::field::keep_alive,
                                                  http::field::proxy_authenticate,
                                                  http::field::proxy_authorization,
                                                  http::field::te,
                                                  http::field::trailer,
                                                  http::field::transfer_encoding,
                                                  http::field::upgrade,
                                                  http::field::proxy_connection,
                                                  http::field::expect};
    for (const http::field name : connection_fields) {
        fields.erase(name);
    }
}

} // namespace boragehollow::forwarding
