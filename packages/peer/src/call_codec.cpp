#include "call_codec.hpp"

#include <algorithm>

namespace boragehollow::peer {

namespace {

void encode_headers(const header_fields& fields, auto* headers) {
    for (const auto& [name, value] : fields) {
        v1::HttpHeader* header = headers->Add();
        header->set_name(name);
        header->set_value(value);
    }
}

header_fields decode_headers(auto* headers) {
    header_fields fields;
    fields.reserve(static_cast<std::size_t>(headers->size()));
    for (v1::HttpHeader& header : *headers) {
        fields.emplace_back(std::move(*header.mutable_name()), std::move(*header.mutable_value()));
    }
    return fields;
}

std::uint64_t to_unsigned(auto duration) {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, duration.count()));
}

/// Clamps a duration from the wire: it is unsigned and may be so large that clock arithmetic would overflow.
template <class Duration>
Duration clamp_duration(Duration max_value, std::uint64_t value) {
    return Duration(std::min<std::uint64_t>(value, static_cast<std::uint64_t>(max_value.count())));
}

/// Longer than any deadline that a route can have.
constexpr std::chrono::hours max_remaining{24};

/// 200 years after the epoch, which still fits into 64-bit nanoseconds.
constexpr std::chrono::hours max_deadline{24 * 365 * 200};

void encode_head(const call_head& head, v1::CallHead& message) {
    message.set_call_id(head.call_id);
    message.set_service(head.service);
    message.set_method(head.method);
    message.set_target_path(head.target_path);
    encode_headers(head.headers, message.mutable_headers());
    message.set_long_work(head.work == config::work_class::long_work);
    message.set_idempotent(head.idempotent);
    if (head.idempotency_key) {
        message.set_idempotency_key(*head.idempotency_key);
    }
    message.set_caller(head.caller);
    message.set_remaining_us(to_unsigned(head.remaining));
    message.set_deadline_wall_us(to_unsigned(head.deadline.time_since_epoch()));
    message.set_attempt(head.attempt);
    message.set_has_body(head.has_body);
    if (head.content_length) {
        message.set_content_length(*head.content_length);
    }
    message.set_config_version(head.config_version.value);
    message.set_target_host(head.target_host);
}

call_head decode_head(v1::CallHead& message) {
    call_head head;
    head.call_id = std::move(*message.mutable_call_id());
    head.service = std::move(*message.mutable_service());
    head.method = std::move(*message.mutable_method());
    head.target_path = std::move(*message.mutable_target_path());
    head.headers = decode_headers(message.mutable_headers());
    head.work = message.long_work() ? config::work_class::long_work : config::work_class::short_work;
    head.idempotent = message.idempotent();
    if (!message.idempotency_key().empty()) {
        head.idempotency_key = std::move(*message.mutable_idempotency_key());
    }
    head.caller = std::move(*message.mutable_caller());
    head.remaining = clamp_duration(microseconds(max_remaining), message.remaining_us());
    head.deadline = common::wall_time(clamp_duration(microseconds(max_deadline), message.deadline_wall_us()));
    head.attempt = message.attempt();
    head.has_body = message.has_body();
    if (message.has_content_length()) {
        head.content_length = message.content_length();
    }
    head.config_version = {message.config_version()};
    head.target_host = std::move(*message.mutable_target_host());
    return head;
}

} // namespace

void encode(const call_request_part& part, v1::CallRequest& message) {
    if (part.head) {
        encode_head(*part.head, *message.mutable_head());
    }
    message.set_data(part.data);
    message.set_end(part.end);
}

call_request_part decode(v1::CallRequest&& message) {
    call_request_part part;
    if (message.has_head()) {
        part.head = decode_head(*message.mutable_head());
    }
    part.data = std::move(*message.mutable_data());
    part.end = message.end();
    return part;
}

void encode(const call_reply_part& part, v1::CallReply& message) {
    if (part.head) {
        v1::CallReplyHead& head = *message.mutable_head();
        head.set_status(static_cast<std::uint32_t>(part.head->status));
        encode_headers(part.head->headers, head.mutable_headers());
        if (part.head->content_length) {
            head.set_content_length(*part.head->content_length);
        }
    }
    message.set_data(part.data);
    message.set_end(part.end);
    if (part.failure) {
        v1::CallFailure& failure = *message.mutable_failure();
        failure.set_outcome(part.failure->outcome == call_outcome::not_run ? v1::CALL_OUTCOME_NOT_RUN
                                                                           : v1::CALL_OUTCOME_UNKNOWN);
        failure.set_reason(part.failure->reason);
        failure.set_detail(part.failure->detail);
        failure.set_retry_after_ms(to_unsigned(part.failure->retry_after));
    }
    if (part.load) {
        v1::CallLoad& load = *message.mutable_load();
        load.set_queued(part.load->queued);
        load.set_in_use(part.load->in_use);
        load.set_slots(part.load->slots);
    }
}

call_reply_part decode(v1::CallReply&& message) {
    call_reply_part part;
    if (message.has_head()) {
        reply_head head;
        head.status = static_cast<int>(message.head().status());
        head.headers = decode_headers(message.mutable_head()->mutable_headers());
        if (message.head().has_content_length()) {
            head.content_length = message.head().content_length();
        }
        part.head = std::move(head);
    }
    part.data = std::move(*message.mutable_data());
    part.end = message.end();
    if (message.has_failure()) {
        call_failure failure;
        failure.outcome = message.failure().outcome() == v1::CALL_OUTCOME_NOT_RUN ? call_outcome::not_run
                                                                                  : call_outcome::unknown;
        failure.reason = message.failure().reason();
        failure.detail = message.failure().detail();
        failure.retry_after = clamp_duration(milliseconds(max_remaining), message.failure().retry_after_ms());
        part.failure = std::move(failure);
    }
    if (message.has_load()) {
        part.load = target_load{message.load().queued(), message.load().in_use(), message.load().slots()};
    }
    return part;
}

} // namespace boragehollow::peer
