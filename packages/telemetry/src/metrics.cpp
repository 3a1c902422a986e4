#include "boragehollow/telemetry/metrics.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <stdexcept>
#include <string_view>

namespace boragehollow::telemetry {

namespace {

std::string escape(std::string_view text, bool quotes) {
    std::string result;
    for (const char c : text) {
        if (c == '\\') {
            result += "\\\\";
            continue;
        }
        if (c == '\n') {
            result += "\\n";
            continue;
        }
        if (c == '"' && quotes) {
            result += "\\\"";
            continue;
        }
        result += c;
    }
    return result;
}

std::string format_number(double value) {
    std::array<char, 32> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value);
    return {text.data(), end.ptr};
}

double seconds(std::chrono::nanoseconds value) {
    return std::chrono::duration<double>(value).count();
}

std::string format_labels(const metric_labels& labels) {
    std::string result;
    for (const auto& [name, value] : labels) {
        result += result.empty() ? "{" : ",";
        result += name + "=\"" + escape(value, true) + "\"";
    }
    return result.empty() ? result : result + "}";
}

std::string format_sample(const std::string& name, const metric_labels& labels, const std::string& value) {
    return name + format_labels(labels) + " " + value + "\n";
}

std::string render_latency(const std::string& name, const metric_labels& labels,
                           const latency_summary& values) {
    const std::array<std::pair<const char*, std::chrono::nanoseconds>, 5> quantiles{{
        {"0.5", values.p50},
        {"0.95", values.p95},
        {"0.99", values.p99},
        {"0.999", values.p999},
        {"1", values.max},
    }};
    std::string result;
    for (const auto& [quantile, value] : quantiles) {
        metric_labels with_quantile = labels;
        with_quantile.emplace_back("quantile", quantile);
        result += format_sample(name, with_quantile,
                                values.window_count == 0 ? "NaN" : format_number(seconds(value)));
    }
    result += format_sample(name + "_sum", labels, format_number(seconds(values.total)));
    result += format_sample(name + "_count", labels, std::to_string(values.total_count));
    return result;
}

} // namespace

std::uint64_t counter::value() const {
    std::uint64_t sum = 0;
    for (const cell& each : m_cells) {
        sum += each.value.load(std::memory_order_relaxed);
    }
    return sum;
}

metric_registry::series& metric_registry::find_or_add(const std::string& name, const std::string& help,
                                                      metric_labels labels,
                                                      const std::function<instrument()>& make) {
    const std::lock_guard lock(m_mutex);
    auto position = std::find_if(m_families.begin(), m_families.end(),
                                 [&](const family& candidate) { return candidate.name == name; });
    if (position == m_families.end()) {
        position = m_families.insert(m_families.end(), family{name, help, {}});
    }
    for (const auto& member : position->members) {
        if (member->labels == labels) {
            return *member;
        }
    }
    return *position->members.emplace_back(std::make_unique<series>(series{std::move(labels), make()}));
}

counter& metric_registry::add_counter(const std::string& name, const std::string& help,
                                      metric_labels labels) {
    series& found = find_or_add(name, help, std::move(labels), [] { return std::make_unique<counter>(); });
    return *std::get<std::unique_ptr<counter>>(found.value);
}

gauge& metric_registry::add_gauge(const std::string& name, const std::string& help, metric_labels labels) {
    series& found = find_or_add(name, help, std::move(labels), [] { return std::make_unique<gauge>(); });
    return *std::get<std::unique_ptr<gauge>>(found.value);
}

latency_distribution& metric_registry::add_latency(const std::string& name, const std::string& help,
                                                   metric_labels labels) {
    series& found =
        find_or_add(name, help, std::move(labels), [] { return std::make_unique<latency_distribution>(); });
    return *std::get<std::unique_ptr<latency_distribution>>(found.value);
}

void metric_registry::add_computed_gauge(const std::string& name, const std::string& help,
                                         metric_labels labels, std::function<double()> compute) {
    find_or_add(name, help, std::move(labels), [&] { return instrument(std::move(compute)); });
}

void metric_registry::add_ring(const std::string& ring_name, std::function<common::ring_stats()> stats) {
    using statistics = std::function<common::ring_stats()>;
    struct ring_gauge {
        const char* name;
        const char* help;
        double (*read)(const common::ring_stats&);
    };
    using common::ring_stats;
    const std::array<ring_gauge, 4> values{{
        {"boragehollow_ring_depth", "Messages that wait in a ring",
         [](const ring_stats& s) { return static_cast<double>(s.depth); }},
        {"boragehollow_ring_capacity", "Messages that a ring can hold",
         [](const ring_stats& s) { return static_cast<double>(s.capacity); }},
        {"boragehollow_ring_highest_depth", "Most messages that have waited in a ring at once",
         [](const ring_stats& s) { return static_cast<double>(s.max_depth); }},
        {"boragehollow_ring_dropped", "Messages that a ring refused or displaced",
         [](const ring_stats& s) { return static_cast<double>(s.dropped); }},
    }};
    const auto shared = std::make_shared<const statistics>(std::move(stats));
    for (const ring_gauge& value : values) {
        add_computed_gauge(value.name, value.help, {{"ring", ring_name}},
                           [shared, read = value.read] { return read((*shared)()); });
    }
}

std::string metric_registry::render(common::steady_time now) const {
    const std::lock_guard lock(m_mutex);
    std::string result;
    for (const family& each : m_families) {
        const auto type_name = common::overloaded{
            [](const std::unique_ptr<counter>&) { return "counter"; },
            [](const std::unique_ptr<gauge>&) { return "gauge"; },
            [](const std::unique_ptr<latency_distribution>&) { return "summary"; },
            [](const computed_gauge&) { return "gauge"; },
        };
        result += "# HELP " + each.name + " " + escape(each.help, false) + "\n";
        result += "# TYPE " + each.name + " " + std::visit(type_name, each.members.front()->value) + "\n";
        for (const auto& member : each.members) {
            const auto render_member = common::overloaded{
                [&](const std::unique_ptr<counter>& value) {
                    return format_sample(each.name, member->labels, std::to_string(value->value()));
                },
                [&](const std::unique_ptr<gauge>& value) {
                    return format_sample(each.name, member->labels, std::to_string(value->value()));
                },
                [&](const std::unique_ptr<latency_distribution>& value) {
                    return render_latency(each.name, member->labels, value->summary(now));
                },
                [&](const computed_gauge& value) {
                    return format_sample(each.name, member->labels, format_number(value()));
                },
            };
            result += std::visit(render_member, member->value);
        }
    }
    return result;
}

} // namespace boragehollow::telemetry
