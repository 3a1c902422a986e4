#include "boragehollow/codec/rollout_codec.hpp"

#include "boragehollow/codec/json_reader.hpp"

#include <algorithm>
#include <optional>

namespace boragehollow::codec {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t max_duration_ms = 86'400'000;
constexpr std::size_t position_fields = 4;
constexpr std::size_t max_steps = 100;
constexpr std::uint32_t whole_share = 1'000;

/// Reads the members of one object; after a failure the values are defaults and `failed` is true.
class member_reader {
public:
    explicit member_reader(const json& object) : m_object(object), m_failed(!object.is_object()) {}

    const json* find(const char* name) {
        if (!m_object.is_object()) {
            return nullptr;
        }
        const auto found = m_object.find(name);
        return found == m_object.end() ? nullptr : &*found;
    }

    std::string text(const char* name) {
        const json* value = find(name);
        return value != nullptr && value->is_string() ? value->get<std::string>() : fail(std::string());
    }

    std::uint64_t number(const char* name) {
        const json* value = find(name);
        return value != nullptr && value->is_number_unsigned() ? value->get<std::uint64_t>()
                                                               : fail(std::uint64_t{0});
    }

    bool flag(const char* name) {
        const json* value = find(name);
        return value != nullptr && value->is_boolean() && value->get<bool>();
    }

    milliseconds duration(const char* name) {
        const std::uint64_t value = number(name);
        if (value > static_cast<std::uint64_t>(max_duration_ms)) {
            return fail(milliseconds(0));
        }
        return milliseconds(static_cast<milliseconds::rep>(value));
    }

    rollout::stage stage(const char* name) {
        const auto value = rollout::parse_stage(text(name));
        return value ? *value : fail(rollout::stage::observing);
    }

    rollout::plan_position position(const char* name) {
        const json* value = find(name);
        const bool valid = value != nullptr && value->is_array() && value->size() == position_fields &&
                           (*value)[0].is_number_unsigned() && (*value)[1].is_string() &&
                           (*value)[2].is_number_unsigned() && (*value)[3].is_number_unsigned();
        if (!valid) {
            return fail(rollout::plan_position{});
        }
        const auto stage = rollout::parse_stage((*value)[1].get<std::string>());
        const auto step = (*value)[2].get<std::uint64_t>();
        if (!stage || step > max_steps) {
            return fail(rollout::plan_position{});
        }
        return {(*value)[0].get<std::uint64_t>(), *stage, static_cast<std::uint32_t>(step),
                (*value)[3].get<std::uint64_t>()};
    }

    template <class T>
    T fail(T value) {
        m_failed = true;
        return value;
    }

    bool failed() const { return m_failed; }

private:
    const json& m_object;
    bool m_failed;
};

json position_json(const rollout::plan_position& position) {
    return json::array({position.order_offset, std::string(rollout::to_string(position.current)),
                        position.step, position.sequence});
}

json plan_json(const rollout::plan& plan) {
    json allowances = json::object();
    for (const auto& [host, calls] : plan.allowances) {
        allowances[host] = calls;
    }
    return {{"service", plan.service},
            {"version", plan.version},
            {"position", position_json(plan.position)},
            {"coordinator", plan.coordinator},
            {"allowed", plan.allowed.count()},
            {"elapsed", std::max<std::int64_t>(0, plan.elapsed.count())},
            {"share", plan.share_permille},
            {"allowances", std::move(allowances)},
            {"withheld", plan.withheld}};
}

std::optional<rollout::plan> read_plan(const json& value) {
    member_reader reader(value);
    rollout::plan plan;
    plan.service = reader.text("service");
    plan.version = reader.text("version");
    plan.position = reader.position("position");
    plan.coordinator = reader.text("coordinator");
    plan.allowed = reader.duration("allowed");
    plan.elapsed = reader.duration("elapsed");
    const std::uint64_t share = reader.number("share");
    const json* allowances = reader.find("allowances");
    const json* withheld = reader.find("withheld");
    const bool valid = !reader.failed() && share <= whole_share && allowances != nullptr &&
                       allowances->is_object() && withheld != nullptr && withheld->is_array();
    if (!valid) {
        return std::nullopt;
    }
    plan.share_permille = static_cast<std::uint32_t>(share);
    for (const auto& [host, calls] : allowances->items()) {
        if (!calls.is_number_unsigned()) {
            return std::nullopt;
        }
        plan.allowances.emplace(host, calls.get<std::uint64_t>());
    }
    for (const json& version : *withheld) {
        if (!version.is_string()) {
            return std::nullopt;
        }
        plan.withheld.insert(version.get<std::string>());
    }
    return plan;
}

/// The first number counts the failures; pairs of a bucket and its count follow.
json counts_json(const rollout::route_counts& counts) {
    json list = json::array({counts.failures});
    for (std::size_t i = 0; i < rollout::latency_buckets; ++i) {
        if (counts.latencies.at(i) == 0) {
            continue;
        }
        list.push_back(i);
        list.push_back(counts.latencies.at(i));
    }
    return list;
}

std::optional<rollout::route_counts> read_counts(const json& value) {
    const bool valid =
        value.is_array() && value.size() % 2 == 1 &&
        std::ranges::all_of(value, [](const json& number) { return number.is_number_unsigned(); });
    if (!valid) {
        return std::nullopt;
    }
    rollout::route_counts counts;
    counts.failures = value[0].get<std::uint64_t>();
    for (std::size_t i = 1; i < value.size(); i += 2) {
        const auto bucket = value[i].get<std::uint64_t>();
        if (bucket >= rollout::latency_buckets) {
            return std::nullopt;
        }
        counts.latencies.at(bucket) = value[i + 1].get<std::uint64_t>();
    }
    return counts;
}

tl::unexpected<std::string> invalid(const char* what) {
    return tl::unexpected(std::string(what) + " is not valid");
}

} // namespace

std::string encode_plans(const std::vector<rollout::plan>& plans) {
    json list = json::array();
    for (const rollout::plan& plan : plans) {
        list.push_back(plan_json(plan));
    }
    return dump_json(list);
}

tl::expected<std::vector<rollout::plan>, std::string> decode_plans(std::string_view text) {
    const auto document = parse_bounded_json(text);
    if (!document || !document->is_array()) {
        return invalid("the list of plans");
    }
    std::vector<rollout::plan> plans;
    for (const json& value : *document) {
        auto plan = read_plan(value);
        if (!plan) {
            return invalid("a plan");
        }
        plans.push_back(std::move(*plan));
    }
    return plans;
}

std::string encode_report(const rollout::report& value) {
    json routes = json::object();
    for (const auto& [route, counts] : value.routes) {
        routes[route] = counts_json(counts);
    }
    json report = {{"service", value.service},
                   {"host", value.host},
                   {"version", value.version},
                   {"process", value.process},
                   {"known", position_json(value.known)},
                   {"admitted", value.admitted},
                   {"running", value.running},
                   {"routes", std::move(routes)}};
    if (value.coordinator_lost) {
        report["coordinator_lost"] = true;
    }
    return dump_json(report);
}

tl::expected<rollout::report, std::string> decode_report(std::string_view text) {
    const auto document = parse_bounded_json(text);
    if (!document) {
        return invalid("a report");
    }
    member_reader reader(*document);
    rollout::report report;
    report.service = reader.text("service");
    report.host = reader.text("host");
    report.version = reader.text("version");
    report.process = reader.number("process");
    report.known = reader.position("known");
    report.admitted = reader.number("admitted");
    report.running = reader.number("running");
    report.coordinator_lost = reader.flag("coordinator_lost");
    const json* routes = reader.find("routes");
    if (reader.failed() || routes == nullptr || !routes->is_object()) {
        return invalid("a report");
    }
    for (const auto& [route, value] : routes->items()) {
        const auto counts = read_counts(value);
        if (!counts) {
            return invalid("a report");
        }
        report.routes.emplace(route, *counts);
    }
    return report;
}

std::string encode_stage_record(const rollout::stage_record& value) {
    return dump_json({{"service", value.service},
                      {"version", value.version},
                      {"order", value.order_offset},
                      {"stage", std::string(rollout::to_string(value.current))},
                      {"admitted", value.admitted},
                      {"ordered", value.ordered.time_since_epoch().count()},
                      {"allowed", value.allowed.count()}});
}

tl::expected<rollout::stage_record, std::string> decode_stage_record(std::string_view text) {
    const auto document = parse_bounded_json(text);
    if (!document) {
        return invalid("the record of a stage");
    }
    member_reader reader(*document);
    rollout::stage_record record;
    record.service = reader.text("service");
    record.version = reader.text("version");
    record.order_offset = reader.number("order");
    record.current = reader.stage("stage");
    record.admitted = reader.number("admitted");
    record.ordered = common::wall_time(common::wall_time::duration(reader.number("ordered")));
    record.allowed = reader.duration("allowed");
    if (reader.failed()) {
        return invalid("the record of a stage");
    }
    return record;
}

} // namespace boragehollow::codec
