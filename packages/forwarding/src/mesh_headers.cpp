#include "boragehollow/forwarding/mesh_headers.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>
#include <vector>

namespace boragehollow::forwarding {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::string_view service_header = "bh-service";
constexpr std::string_view caller_host_header = "bh-caller-host";
constexpr std::string_view caller_service_header = "bh-caller-service";
constexpr std::string_view request_id_header = "bh-request-id";
constexpr std::string_view work_header = "bh-work";
constexpr std::string_view idempotent_header = "bh-idempotent";
constexpr std::string_view priority_header = "bh-priority";
constexpr std::string_view time_left_header = "bh-time-left-us";
constexpr std::string_view soft_deadline_left_header = "bh-aim-left-us";
constexpr std::string_view accepts_late_header = "bh-accepts-late";
constexpr std::string_view retry_header = "bh-retry";
constexpr std::string_view accepts_shedding_header = "bh-accepts-shedding";
constexpr std::string_view inner_header = "bh-inner";
constexpr std::string_view account_header = "bh-account";
constexpr std::string_view account_key_header = "bh-account-key";
constexpr std::string_view target_sheds_header = "bh-target-sheds";
constexpr std::string_view inherited_repeats_header = "bh-inherited-repeats";
constexpr std::string_view transfer_bytes_header = "bh-transfer-bytes";
constexpr std::string_view begin_after_header = "bh-begin-after-ms";
constexpr std::string_view duration_header = "bh-duration-ms";
constexpr std::string_view version_header = "bh-config-version";
constexpr std::string_view outcome_header = "bh-outcome";
constexpr std::string_view reason_header = "bh-reason";
constexpr std::string_view retry_after_header = "bh-retry-after-ms";
constexpr std::string_view in_use_header = "bh-in-use";
constexpr std::string_view queued_header = "bh-queued";
constexpr std::string_view slots_header = "bh-slots";
constexpr std::string_view service_time_header = "bh-service-time-us";

constexpr std::array outcome_names{
    std::pair{forwarding_outcome::answered, std::string_view("answered")},
    std::pair{forwarding_outcome::refused, std::string_view("refused")},
    std::pair{forwarding_outcome::unsent, std::string_view("unsent")},
    std::pair{forwarding_outcome::lost, std::string_view("lost")},
    std::pair{forwarding_outcome::reserved, std::string_view("reserved")},
};

template <class Text>
void set(http::fields& fields, std::string_view name, const Text& value) {
    fields.set(beast_view(name), beast_view(value));
}

void set_number(http::fields& fields, std::string_view name, std::uint64_t value) {
    set(fields, name, std::to_string(value));
}

std::string read_text(const http::fields& fields, std::string_view name) {
    const auto value = fields[beast_view(name)];
    return {value.data(), value.size()};
}

std::optional<forwarding_outcome> parse_outcome(std::string_view text) {
    const auto found = std::ranges::find(outcome_names, text, [](const auto& pair) { return pair.second; });
    return found == outcome_names.end() ? std::nullopt : std::optional(found->first);
}

std::string_view outcome_text(forwarding_outcome outcome) {
    return std::ranges::find(outcome_names, outcome, [](const auto& pair) { return pair.first; })->second;
}

} // namespace

std::optional<std::uint64_t> read_number(const http::fields& fields, std::string_view name) {
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

void remove_mesh_headers(http::fields& fields) {
    // Matched by prefix, so that an older daemon also removes headers that a newer version added.
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

void write_call_metadata(const call_metadata& call, request_message& request) {
    set(request, service_header, call.service);
    set(request, caller_host_header, call.caller_host);
    set(request, caller_service_header, call.caller_service);
    set(request, request_id_header, call.request_id);
    set_number(request, work_header, call.work == config::work_class::long_work ? 1 : 0);
    set_number(request, idempotent_header, call.idempotent ? 1 : 0);
    set_number(request, priority_header, call.priority);
    set_number(request, time_left_header,
               static_cast<std::uint64_t>(std::max<std::int64_t>(0, call.time_left.count())));
    if (call.soft_deadline_left) {
        set_number(request, soft_deadline_left_header,
                   static_cast<std::uint64_t>(std::max<std::int64_t>(0, call.soft_deadline_left->count())));
    }
    set_number(request, accepts_late_header, call.accepts_late ? 1 : 0);
    set_number(request, version_header, call.config_version.value);
    if (call.retry) {
        set_number(request, retry_header, 1);
    }
    if (!call.accepts_shedding) {
        set_number(request, accepts_shedding_header, 0);
    }
    if (!call.account.empty()) {
        set(request, account_header, call.account);
        set_number(request, account_key_header, call.account_key.value);
    }
    if (call.inner) {
        set_number(request, inner_header, 1);
    }
    if (call.inherited_repeats_permille > 0) {
        set_number(request, inherited_repeats_header, call.inherited_repeats_permille);
    }
    if (call.transfer_bytes) {
        set_number(request, transfer_bytes_header, *call.transfer_bytes);
    }
}

std::optional<call_metadata> extract_call_metadata(request_message& request) {
    const auto work = read_number(request, work_header);
    const auto idempotent = read_number(request, idempotent_header);
    const auto priority = read_number(request, priority_header);
    const auto time_left = read_number(request, time_left_header);
    const auto version = read_number(request, version_header);
    if (!work || !idempotent || !priority || !time_left || !version) {
        return std::nullopt;
    }
    call_metadata call;
    call.service = read_text(request, service_header);
    call.caller_host = read_text(request, caller_host_header);
    call.caller_service = read_text(request, caller_service_header);
    call.request_id = read_text(request, request_id_header);
    call.work = *work == 1 ? config::work_class::long_work : config::work_class::short_work;
    call.idempotent = *idempotent == 1;
    call.priority = static_cast<std::uint32_t>(*priority);
    call.time_left = microseconds(*time_left);
    if (const auto soft_deadline_left = read_number(request, soft_deadline_left_header)) {
        call.soft_deadline_left = microseconds(*soft_deadline_left);
    }
    call.accepts_late = read_number(request, accepts_late_header).value_or(1) == 1;
    call.config_version = {*version};
    call.retry = read_number(request, retry_header).value_or(0) == 1;
    call.accepts_shedding = read_number(request, accepts_shedding_header).value_or(1) == 1;
    call.account = read_text(request, account_header);
    call.account_key = {read_number(request, account_key_header).value_or(0)};
    call.inner = read_number(request, inner_header).value_or(0) == 1;
    call.inherited_repeats_permille = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(1'000, read_number(request, inherited_repeats_header).value_or(0)));
    call.transfer_bytes = read_number(request, transfer_bytes_header);
    if (call.service.empty()) {
        return std::nullopt;
    }
    remove_mesh_headers(request);
    return call;
}

void write_response_metadata(const response_metadata& metadata, response_message& response) {
    remove_mesh_headers(response);
    set(response, outcome_header, outcome_text(metadata.outcome));
    if (!metadata.reason.empty()) {
        set(response, reason_header, metadata.reason);
    }
    if (metadata.retry_after.count() > 0) {
        set_number(response, retry_after_header, static_cast<std::uint64_t>(metadata.retry_after.count()));
    }
    if (metadata.load) {
        set_number(response, in_use_header, metadata.load->in_use);
        set_number(response, queued_header, metadata.load->queued);
        set_number(response, slots_header, metadata.load->slots);
    }
    set_number(response, service_time_header, static_cast<std::uint64_t>(metadata.service_time.count()));
    set_number(response, version_header, metadata.config_version.value);
    if (metadata.target_sheds) {
        set_number(response, target_sheds_header, 1);
    }
    if (metadata.outcome == forwarding_outcome::reserved) {
        set_number(response, begin_after_header,
                   static_cast<std::uint64_t>(metadata.window.begin_after.count()));
        set_number(response, duration_header, static_cast<std::uint64_t>(metadata.window.duration.count()));
    }
}

std::optional<response_metadata> extract_response_metadata(response_message& response) {
    const auto outcome = parse_outcome(read_text(response, outcome_header));
    if (!outcome) {
        return std::nullopt;
    }
    response_metadata metadata;
    metadata.outcome = *outcome;
    metadata.reason = read_text(response, reason_header);
    metadata.retry_after = milliseconds(read_number(response, retry_after_header).value_or(0));
    const auto in_use = read_number(response, in_use_header);
    const auto queued = read_number(response, queued_header);
    const auto slots = read_number(response, slots_header);
    if (in_use && queued && slots) {
        metadata.load = balancing::piggybacked_load{static_cast<std::uint32_t>(*queued),
                                                    static_cast<std::uint32_t>(*in_use),
                                                    static_cast<std::uint32_t>(*slots)};
    }
    metadata.service_time = microseconds(read_number(response, service_time_header).value_or(0));
    metadata.config_version = {read_number(response, version_header).value_or(0)};
    metadata.target_sheds = read_number(response, target_sheds_header).value_or(0) == 1;
    metadata.window = {milliseconds(read_number(response, begin_after_header).value_or(0)),
                       milliseconds(read_number(response, duration_header).value_or(0))};
    remove_mesh_headers(response);
    return metadata;
}

void remove_hop_by_hop_headers(http::fields& fields) {
    // The headers that `Connection` lists are hop-by-hop, too.
    std::vector<std::string> listed;
    for (const auto& token : http::token_list(fields[http::field::connection])) {
        listed.emplace_back(token.data(), token.size());
    }
    for (const std::string& name : listed) {
        if (beast::iequals(beast_view(name), "close") || beast::iequals(beast_view(name), "keep-alive")) {
            continue;
        }
        fields.erase(beast_view(name));
    }
    static constexpr std::array hop_by_hop_fields{http::field::connection,
                                                  http::field::keep_alive,
                                                  http::field::proxy_authenticate,
                                                  http::field::proxy_authorization,
                                                  http::field::te,
                                                  http::field::trailer,
                                                  http::field::transfer_encoding,
                                                  http::field::upgrade,
                                                  http::field::proxy_connection,
                                                  http::field::expect};
    for (const http::field name : hop_by_hop_fields) {
        fields.erase(name);
    }
}

} // namespace boragehollow::forwarding
