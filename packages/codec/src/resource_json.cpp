#include "boragehollow/codec/resource_json.hpp"

#include "boragehollow/common/duration_text.hpp"
#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/config/names.hpp"

#include <utility>

namespace boragehollow::codec {

namespace {

using common::format_duration;
using config::to_string;

json balancing_to_json(const config::balancing_policy& value) {
    return std::visit(common::overloaded{
                          [](const config::peak_ewma& ewma) {
                              return json{{"kind", "peak_ewma"}, {"decay", format_duration(ewma.decay)}};
                          },
                          [](const config::least_loaded&) {
                              return json{{"kind", "least_loaded"}};
                          },
                          [](const config::round_robin&) {
                              return json{{"kind", "round_robin"}};
                          },
                          [](const config::random_choice&) {
                              return json{{"kind", "random_choice"}};
                          },
                          [](const config::load_aware& by_load) {
                              return json{{"kind", "load_aware"}, {"decay", format_duration(by_load.decay)}};
                          },
                      },
                      value);
}

json backends_to_json(const std::vector<config::weighted_backend>& backends) {
    json list = json::array();
    for (const config::weighted_backend& backend : backends) {
        list.push_back({{"service", backend.service}, {"weight", backend.weight}});
    }
    return list;
}

json route_to_json(const config::route& value) {
    return {{"kind", "route"},
            {"name", value.name},
            {"host", value.host},
            {"path_prefix", value.path_prefix},
            {"methods", value.methods},
            {"service", value.service},
            {"deadline", format_duration(value.deadline)},
            {"idempotent", value.idempotent},
            {"work", to_string(value.work)},
            {"backends", backends_to_json(value.backends)},
            {"attempts", value.attempts},
            {"target_latency", format_duration(value.target_latency)},
            {"priority", value.priority},
            {"only_below_prefix", value.only_below_prefix}};
}

json policy_to_json(const config::service_policy& value) {
    const json retry{{"max_attempts", value.retry.max_attempts},
                     {"budget_ratio", value.retry.budget_ratio},
                     {"min_per_second", value.retry.min_per_second},
                     {"base_backoff", format_duration(value.retry.base_backoff)},
                     {"max_backoff", format_duration(value.retry.max_backoff)}};
    const json hedging{{"enabled", value.hedging.enabled},
                       {"min_delay", format_duration(value.hedging.min_delay)},
                       {"budget_ratio", value.hedging.budget_ratio}};
    const json admission{{"queue_length", value.admission.queue_length},
                         {"queue_max_wait", format_duration(value.admission.queue_max_wait)},
                         {"reserved_short_slots", value.admission.reserved_short_slots},
                         {"long_threshold", format_duration(value.admission.long_threshold)},
                         {"adaptive_limit", value.admission.adaptive_limit},
                         {"order", to_string(value.admission.order)}};
    const json ejection{{"consecutive_failures", value.ejection.consecutive_failures},
                        {"latency_factor", value.ejection.latency_factor},
                        {"base_time", format_duration(value.ejection.base_time)},
                        {"max_time", format_duration(value.ejection.max_time)},
                        {"max_fraction", value.ejection.max_fraction},
                        {"panic_healthy_fraction", value.ejection.panic_healthy_fraction}};
    return {
        {"kind", "service_policy"}, {"name", value.name}, {"balancing", balancing_to_json(value.balancing)},
        {"retry", retry},           {"hedging", hedging}, {"admission", admission},
        {"ejection", ejection}};
}

json rule_to_json(const config::target_rule& value) {
    return {{"kind", "target_rule"},
            {"name", value.name},
            {"service", value.service},
            {"labels", value.labels},
            {"preference", to_string(value.preference)},
            {"spill_over", value.spill_over}};
}

void read_fields(object_reader& reader, config::route& target) {
    reader.required("name", target.name);
    reader.optional("host", target.host);
    reader.optional("path_prefix", target.path_prefix);
    reader.optional("methods", target.methods);
    reader.required("service", target.service);
    reader.optional("deadline", target.deadline);
    reader.optional("idempotent", target.idempotent);
    reader.optional_name("work", target.work, config::parse_work_class);
    reader.optional("backends", target.backends);
    reader.optional("attempts", target.attempts);
    reader.optional("target_latency", target.target_latency);
    reader.optional("priority", target.priority);
    reader.optional("only_below_prefix", target.only_below_prefix);
}

void read_fields(object_reader& reader, config::target_rule& target) {
    reader.required("name", target.name);
    reader.required("service", target.service);
    reader.optional("labels", target.labels);
    reader.optional_name("preference", target.preference, config::parse_domain_preference);
    reader.optional("spill_over", target.spill_over);
}

void read_fields(object_reader& reader, config::service_policy& target) {
    reader.required("name", target.name);
    reader.optional("balancing", target.balancing);
    reader.optional("retry", target.retry);
    reader.optional("hedging", target.hedging);
    reader.optional("admission", target.admission);
    reader.optional("ejection", target.ejection);
}

config::resource default_resource(config::resource_kind kind) {
    switch (kind) {
    case config::resource_kind::route:
        return config::route{};
    case config::resource_kind::service_policy:
        return config::service_policy{};
    case config::resource_kind::target_rule:
        return config::target_rule{};
    }
    return config::route{};
}

} // namespace

json to_json(const config::resource& value) {
    return std::visit(common::overloaded{
                          [](const config::route& item) { return route_to_json(item); },
                          [](const config::service_policy& item) { return policy_to_json(item); },
                          [](const config::target_rule& item) { return rule_to_json(item); },
                      },
                      value);
}

json to_json(const config::resource_key& value) {
    return {{"kind", to_string(value.kind)}, {"name", value.name}};
}

json to_json(const config::stored_resource& value) {
    return {{"resource", to_json(value.value)}, {"revision", value.changed_at.value}};
}

void read_value(const json& value, const std::string& path, config::revision& target, json_errors& errors) {
    read_value(value, path, target.value, errors);
}

void read_value(const json& value, const std::string& path, config::balancing_policy& target,
                json_errors& errors) {
    object_reader reader(value, path, errors);
    std::string kind;
    reader.required("kind", kind);
    if (kind == "peak_ewma") {
        config::peak_ewma ewma;
        reader.optional("decay", ewma.decay);
        target = ewma;
    } else if (kind == "least_loaded") {
        target = config::least_loaded{};
    } else if (kind == "round_robin") {
        target = config::round_robin{};
    } else if (kind == "random_choice") {
        target = config::random_choice{};
    } else if (kind == "load_aware") {
        config::load_aware by_load;
        reader.optional("decay", by_load.decay);
        target = by_load;
    } else if (!kind.empty()) {
        reader.fail(json_error_kind::bad_value, "kind",
                    "must be peak_ewma, least_loaded, round_robin, random_choice or load_aware");
    }
    reader.finish();
}

void read_value(const json& value, const std::string& path, std::vector<config::weighted_backend>& target,
                json_errors& errors) {
    if (!expect_array(value, path, errors)) {
        return;
    }
    target.clear();
    for (std::size_t i = 0; i < value.size(); ++i) {
        config::weighted_backend& backend = target.emplace_back();
        object_reader reader(value[i], path + "[" + std::to_string(i) + "]", errors);
        reader.required("service", backend.service);
        reader.optional("weight", backend.weight);
        reader.finish();
    }
}

void read_value(const json& value, const std::string& path, config::retry_policy& target,
                json_errors& errors) {
    object_reader reader(value, path, errors);
    reader.optional("max_attempts", target.max_attempts);
    reader.optional("budget_ratio", target.budget_ratio);
    reader.optional("min_per_second", target.min_per_second);
    reader.optional("base_backoff", target.base_backoff);
    reader.optional("max_backoff", target.max_backoff);
    reader.finish();
}

void read_value(const json& value, const std::string& path, config::hedging_policy& target,
                json_errors& errors) {
    object_reader reader(value, path, errors);
    reader.optional("enabled", target.enabled);
    reader.optional("min_delay", target.min_delay);
    reader.optional("budget_ratio", target.budget_ratio);
    reader.finish();
}

void read_value(const json& value, const std::string& path, config::admission_policy& target,
                json_errors& errors) {
    object_reader reader(value, path, errors);
    reader.optional("queue_length", target.queue_length);
    reader.optional("queue_max_wait", target.queue_max_wait);
    reader.optional("reserved_short_slots", target.reserved_short_slots);
    reader.optional("long_threshold", target.long_threshold);
    reader.optional("adaptive_limit", target.adaptive_limit);
    reader.optional_name("order", target.order, config::parse_queue_order);
    reader.finish();
}

void read_value(const json& value, const std::string& path, config::ejection_policy& target,
                json_errors& errors) {
    object_reader reader(value, path, errors);
    reader.optional("consecutive_failures", target.consecutive_failures);
    reader.optional("latency_factor", target.latency_factor);
    reader.optional("base_time", target.base_time);
    reader.optional("max_time", target.max_time);
    reader.optional("max_fraction", target.max_fraction);
    reader.optional("panic_healthy_fraction", target.panic_healthy_fraction);
    reader.finish();
}

void read_value(const json& value, const std::string& path, config::resource& target, json_errors& errors) {
    object_reader reader(value, path, errors);
    const std::size_t errors_before = errors.size();
    config::resource_kind kind{};
    reader.required_name("kind", kind, config::parse_resource_kind);
    // Without a valid kind it is unknown which fields are valid.
    if (errors.size() != errors_before) {
        return;
    }
    target = default_resource(kind);
    std::visit([&reader](auto& concrete) { read_fields(reader, concrete); }, target);
    reader.finish();
}

void read_value(const json& value, const std::string& path, config::resource_key& target,
                json_errors& errors) {
    object_reader reader(value, path, errors);
    reader.required_name("kind", target.kind, config::parse_resource_kind);
    reader.required("name", target.name);
    reader.finish();
}

void read_value(const json& value, const std::string& path, config::stored_resource& target,
                json_errors& errors) {
    object_reader reader(value, path, errors);
    reader.required("resource", target.value);
    reader.required("revision", target.changed_at);
    reader.finish();
}

} // namespace boragehollow::codec
