#include "boragehollow/codec/resource_message.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <algorithm>
#include <cmath>

namespace boragehollow::codec {

namespace {

using config::milliseconds;

std::uint64_t to_unsigned_ms(milliseconds value) {
    return static_cast<std::uint64_t>(std::max<milliseconds::rep>(value.count(), 0));
}

/// Clamps values to one that fits into the type and still fails validation.
milliseconds to_milliseconds(std::uint64_t value) {
    constexpr std::uint64_t max_ms = 1'000'000'000'000;
    return milliseconds{static_cast<milliseconds::rep>(std::min(value, max_ms))};
}

messages::Route to_route(const config::route& value) {
    messages::Route message;
    message.set_name(value.name);
    message.set_host(value.host);
    message.set_path_prefix(value.path_prefix);
    for (const std::string& method : value.methods) {
        message.add_methods(method);
    }
    message.set_service(value.service);
    message.set_deadline_ms(to_unsigned_ms(value.deadline));
    message.set_idempotent(value.idempotent);
    message.set_work(value.work == config::work_class::long_work ? messages::WORK_CLASS_LONG
                                                                 : messages::WORK_CLASS_SHORT);
    for (const config::weighted_backend& backend : value.backends) {
        messages::WeightedBackend& entry = *message.add_backends();
        entry.set_service(backend.service);
        entry.set_weight(backend.weight);
    }
    message.set_attempts(value.attempts);
    message.set_target_latency_ms(to_unsigned_ms(value.target_latency));
    message.set_priority(value.priority);
    message.set_only_below_prefix(value.only_below_prefix);
    return message;
}

void set_balancing(const config::balancing_policy& value, messages::ServicePolicy& message) {
    std::visit(common::overloaded{
                   [&message](const config::peak_ewma& ewma) {
                       message.set_balancing(messages::BALANCING_KIND_PEAK_EWMA);
                       message.set_ewma_decay_ms(to_unsigned_ms(ewma.decay));
                   },
                   [&message](const config::least_loaded&) {
                       message.set_balancing(messages::BALANCING_KIND_LEAST_LOADED);
                   },
                   [&message](const config::round_robin&) {
                       message.set_balancing(messages::BALANCING_KIND_ROUND_ROBIN);
                   },
                   [&message](const config::random_choice&) {
                       message.set_balancing(messages::BALANCING_KIND_RANDOM);
                   },
                   [&message](const config::load_aware& by_load) {
                       message.set_balancing(messages::BALANCING_KIND_LOAD_AWARE);
                       message.set_ewma_decay_ms(to_unsigned_ms(by_load.decay));
                   },
               },
               value);
}

messages::ServicePolicy to_policy(const config::service_policy& value) {
    messages::ServicePolicy message;
    message.set_name(value.name);
    set_balancing(value.balancing, message);
    message.set_retry_max_attempts(value.retry.max_attempts);
    message.set_retry_budget_ratio(value.retry.budget_ratio);
    message.set_retry_min_per_second(value.retry.min_per_second);
    message.set_retry_base_backoff_ms(to_unsigned_ms(value.retry.base_backoff));
    message.set_retry_max_backoff_ms(to_unsigned_ms(value.retry.max_backoff));
    message.set_hedging_enabled(value.hedging.enabled);
    message.set_hedging_min_delay_ms(to_unsigned_ms(value.hedging.min_delay));
    message.set_hedging_budget_ratio(value.hedging.budget_ratio);
    message.set_queue_length(value.admission.queue_length);
    message.set_queue_max_wait_ms(to_unsigned_ms(value.admission.queue_max_wait));
    message.set_reserved_short_slots(value.admission.reserved_short_slots);
    message.set_long_threshold_ms(to_unsigned_ms(value.admission.long_threshold));
    message.set_adaptive_limit(value.admission.adaptive_limit);
    // The variant's alternatives have the same order as the enumeration's values.
    message.set_queue_order(static_cast<messages::QueueOrder>(value.admission.order.index()));
    message.set_ejection_consecutive_failures(value.ejection.consecutive_failures);
    message.set_ejection_latency_factor(value.ejection.latency_factor);
    message.set_ejection_base_ms(to_unsigned_ms(value.ejection.base_time));
    message.set_ejection_max_ms(to_unsigned_ms(value.ejection.max_time));
    message.set_ejection_max_fraction(value.ejection.max_fraction);
    message.set_panic_healthy_fraction(value.ejection.panic_healthy_fraction);
    return message;
}

messages::TargetRule to_rule(const config::target_rule& value) {
    messages::TargetRule message;
    message.set_name(value.name);
    message.set_service(value.service);
    for (const auto& [key, text] : value.labels) {
        (*message.mutable_labels())[key] = text;
    }
    message.set_preference(value.preference == config::domain_preference::any
                               ? messages::DOMAIN_PREFERENCE_ANY
                               : messages::DOMAIN_PREFERENCE_LOCAL_FIRST);
    message.set_spill_over(value.spill_over);
    return message;
}

tl::expected<config::resource, malformed> from_route(const messages::Route& message) {
    if (!messages::WorkClass_IsValid(message.work())) {
        return tl::unexpected(malformed{"route.work has an unknown value"});
    }
    std::vector<config::weighted_backend> backends;
    for (const messages::WeightedBackend& backend : message.backends()) {
        backends.push_back({backend.service(), backend.weight()});
    }
    return config::route{
        .name = message.name(),
        .host = message.host(),
        .path_prefix = message.path_prefix(),
        .methods = {message.methods().begin(), message.methods().end()},
        .service = message.service(),
        .deadline = to_milliseconds(message.deadline_ms()),
        .idempotent = message.idempotent(),
        .work = message.work() == messages::WORK_CLASS_LONG ? config::work_class::long_work
                                                            : config::work_class::short_work,
        .backends = std::move(backends),
        .attempts = message.attempts(),
        .target_latency = to_milliseconds(message.target_latency_ms()),
        .priority = message.priority(),
        .only_below_prefix = message.only_below_prefix(),
    };
}

tl::expected<config::queue_order, malformed> from_queue_order(messages::QueueOrder order) {
    switch (order) {
    case messages::QUEUE_ORDER_FAIR:
        return config::fair_queueing{};
    case messages::QUEUE_ORDER_ARRIVAL:
        return config::fifo_queueing{};
    case messages::QUEUE_ORDER_RANKED:
        return config::priority_queueing{};
    default:
        return tl::unexpected(malformed{"service_policy.queue_order has an unknown value"});
    }
}

tl::expected<config::balancing_policy, malformed> from_balancing(const messages::ServicePolicy& message) {
    switch (message.balancing()) {
    case messages::BALANCING_KIND_PEAK_EWMA:
        return config::peak_ewma{to_milliseconds(message.ewma_decay_ms())};
    case messages::BALANCING_KIND_LEAST_LOADED:
        return config::least_loaded{};
    case messages::BALANCING_KIND_ROUND_ROBIN:
        return config::round_robin{};
    case messages::BALANCING_KIND_RANDOM:
        return config::random_choice{};
    case messages::BALANCING_KIND_LOAD_AWARE:
        return config::load_aware{to_milliseconds(message.ewma_decay_ms())};
    default:
        return tl::unexpected(malformed{"service_policy.balancing has an unknown value"});
    }
}

tl::expected<config::resource, malformed> from_policy(const messages::ServicePolicy& message) {
    const auto balancing = from_balancing(message);
    if (!balancing) {
        return tl::unexpected(balancing.error());
    }
    for (const double number :
         {message.retry_budget_ratio(), message.hedging_budget_ratio(), message.ejection_latency_factor(),
          message.ejection_max_fraction(), message.panic_healthy_fraction()}) {
        if (!std::isfinite(number)) {
            return tl::unexpected(malformed{"service_policy has a number that is not finite"});
        }
    }
    const auto order = from_queue_order(message.queue_order());
    if (!order) {
        return tl::unexpected(order.error());
    }
    config::service_policy value{.name = message.name(), .balancing = *balancing};
    value.retry = {message.retry_max_attempts(), message.retry_budget_ratio(), message.retry_min_per_second(),
                   to_milliseconds(message.retry_base_backoff_ms()),
                   to_milliseconds(message.retry_max_backoff_ms())};
    value.hedging = {message.hedging_enabled(), to_milliseconds(message.hedging_min_delay_ms()),
                     message.hedging_budget_ratio()};
    value.admission = {message.queue_length(),         to_milliseconds(message.queue_max_wait_ms()),
                       message.reserved_short_slots(), to_milliseconds(message.long_threshold_ms()),
                       message.adaptive_limit(),       *order};
    value.ejection = {message.ejection_consecutive_failures(),
                      message.ejection_latency_factor(),
                      to_milliseconds(message.ejection_base_ms()),
                      to_milliseconds(message.ejection_max_ms()),
                      message.ejection_max_fraction(),
                      message.panic_healthy_fraction()};
    return value;
}

tl::expected<config::resource, malformed> from_rule(const messages::TargetRule& message) {
    if (!messages::DomainPreference_IsValid(message.preference())) {
        return tl::unexpected(malformed{"target_rule.preference has an unknown value"});
    }
    if (!std::isfinite(message.spill_over())) {
        return tl::unexpected(malformed{"target_rule.spill_over is not finite"});
    }
    return config::target_rule{
        .name = message.name(),
        .service = message.service(),
        .labels = {message.labels().begin(), message.labels().end()},
        .preference = message.preference() == messages::DOMAIN_PREFERENCE_ANY
                          ? config::domain_preference::any
                          : config::domain_preference::local_first,
        .spill_over = message.spill_over(),
    };
}

} // namespace

std::string to_string(const decode_error& error) {
    return std::visit(common::overloaded{
                          [](const malformed& value) { return value.detail; },
                          [](const too_large& value) {
                              return std::to_string(value.size) + " bytes, more than the limit of " +
                                     std::to_string(value.limit);
                          },
                      },
                      error);
}

messages::Resource to_message(const config::resource& value) {
    messages::Resource message;
    std::visit(
        common::overloaded{
            [&message](const config::route& item) { *message.mutable_route() = to_route(item); },
            [&message](const config::service_policy& item) {
                *message.mutable_service_policy() = to_policy(item);
            },
            [&message](const config::target_rule& item) { *message.mutable_target_rule() = to_rule(item); },
        },
        value);
    return message;
}

messages::ResourceKey to_message(const config::resource_key& value) {
    messages::ResourceKey message;
    message.set_kind(static_cast<messages::ResourceKind>(value.kind));
    message.set_name(value.name);
    return message;
}

tl::expected<config::resource, malformed> from_message(const messages::Resource& message) {
    switch (message.value_case()) {
    case messages::Resource::kRoute:
        return from_route(message.route());
    case messages::Resource::kServicePolicy:
        return from_policy(message.service_policy());
    case messages::Resource::kTargetRule:
        return from_rule(message.target_rule());
    case messages::Resource::VALUE_NOT_SET:
        break;
    }
    return tl::unexpected(malformed{"a resource has no value"});
}

tl::expected<config::resource_key, malformed> from_message(const messages::ResourceKey& message) {
    if (!messages::ResourceKind_IsValid(message.kind())) {
        return tl::unexpected(malformed{"a resource key has an unknown kind"});
    }
    return config::resource_key{static_cast<config::resource_kind>(message.kind()), message.name()};
}

std::string serialize(const google::protobuf::MessageLite& message) {
    std::string bytes;
    {
        google::protobuf::io::StringOutputStream stream(&bytes);
        google::protobuf::io::CodedOutputStream output(&stream);
        output.SetSerializationDeterministic(true);
        message.SerializeToCodedStream(&output);
    }
    return bytes;
}

} // namespace boragehollow::codec
