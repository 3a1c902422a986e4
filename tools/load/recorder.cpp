#include "recorder.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace boragehollow::load {

namespace {

using nlohmann::json;

double percentile_ms(const std::vector<std::int64_t>& sorted, double fraction) {
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
    return static_cast<double>(sorted.at(std::min(index, sorted.size() - 1))) / 1'000;
}

json latency_json(std::vector<std::int64_t>& values) {
    std::sort(values.begin(), values.end());
    return {{"count", values.size()},
            {"p50_ms", percentile_ms(values, 0.5)},
            {"p90_ms", percentile_ms(values, 0.9)},
            {"p99_ms", percentile_ms(values, 0.99)},
            {"p999_ms", percentile_ms(values, 0.999)},
            {"max_ms", percentile_ms(values, 1.0)}};
}

} // namespace

recorder::recorder(const std::string& results_file) : m_writes_file(!results_file.empty()) {
    if (m_writes_file) {
        m_file.open(results_file, std::ios::trunc);
    }
}

bool recorder::ready() const {
    return !m_writes_file || m_file.good();
}

void recorder::add(const planned_request& request) {
    m_pending.emplace(request.id, request);
}

std::size_t recorder::mark_pending_broken() {
    const auto pending = std::exchange(m_pending, {});
    for (const auto& [id, request] : pending) {
        request_result stalled;
        stalled.request = request;
        stalled.outcome = request_outcome::broken;
        stalled.reason = "stalled";
        stalled.end = common::wall_now();
        const auto waited = common::steady_clock::now() - request.intended;
        stalled.latency = std::chrono::duration_cast<microseconds>(waited);
        add(stalled);
    }
    return pending.size();
}

void recorder::add(const request_result& value) {
    m_pending.erase(value.request.id);
    const auto outcome = static_cast<std::size_t>(value.outcome);
    kind_statistics& kind = m_kinds.at(static_cast<std::size_t>(value.request.kind));
    ++kind.outcomes.at(outcome);
    const bool answered = value.outcome == request_outcome::answered;
    (answered ? kind.answered_us : kind.other_us).push_back(value.latency.count());
    if (!answered) {
        ++m_reasons[std::string(name_of(value.outcome)) + ":" + value.reason];
    } else if (value.status != 200) {
        ++m_reasons["status:" + std::to_string(value.status)];
    }
    if (!value.target.empty()) {
        ++m_targets[value.target];
    }
    auto& caller = m_callers[value.request.caller];
    ++caller[0];
    caller[1] += answered ? 1 : 0;
    if (!m_writes_file) {
        return;
    }
    const std::int64_t end_us = value.end.time_since_epoch().count();
    const json line{{"id", value.request.id},
                    {"kind", name_of(value.request.kind)},
                    {"caller", value.request.caller},
                    {"key", value.request.key},
                    {"server", value.request.server},
                    {"intended_us", end_us - value.latency.count()},
                    {"end_us", end_us},
                    {"latency_us", value.latency.count()},
                    {"queued_us", value.queued.count()},
                    {"outcome", name_of(value.outcome)},
                    {"status", value.status},
                    {"reason", value.reason},
                    {"target", value.target},
                    {"run", value.run},
                    {"bytes", value.body_size}};
    m_file << line.dump() << '\n';
}

std::uint64_t recorder::count(request_outcome outcome) const {
    std::uint64_t total = 0;
    for (const kind_statistics& kind : m_kinds) {
        total += kind.outcomes.at(static_cast<std::size_t>(outcome));
    }
    return total;
}

json recorder::summary(std::chrono::duration<double> elapsed) {
    m_file.flush();
    json outcomes = json::object();
    std::uint64_t total = 0;
    for (int i = 0; i < outcome_count; ++i) {
        const auto outcome = static_cast<request_outcome>(i);
        outcomes[name_of(outcome)] = count(outcome);
        total += count(outcome);
    }
    json kinds = json::object();
    for (int i = 0; i < kind_count; ++i) {
        kind_statistics& kind = m_kinds.at(static_cast<std::size_t>(i));
        if (kind.answered_us.empty() && kind.other_us.empty()) {
            continue;
        }
        kinds[name_of(static_cast<request_kind>(i))] = {{"answered", latency_json(kind.answered_us)},
                                                        {"other", latency_json(kind.other_us)}};
    }
    return {{"requests", total},    {"seconds", elapsed.count()}, {"outcomes", outcomes}, {"kinds", kinds},
            {"reasons", m_reasons}, {"targets", m_targets},       {"callers", m_callers}};
}

} // namespace boragehollow::load
