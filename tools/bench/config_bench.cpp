// Measures the configuration libraries with 2,000 resources: 500 service policies, 1,000 routes, 500 rules.
#include "boragehollow/common/time.hpp"
#include "boragehollow/config/config_state.hpp"

#include <algorithm>
#include <cstdio>
#include <vector>

namespace {

using namespace boragehollow;
using common::steady_clock;
using std::chrono::nanoseconds;

constexpr int service_count = 500;
constexpr int round_count = 10'000;

std::string service_name(int i) {
    return "service-" + std::to_string(i);
}

config::route make_route(int i) {
    return {.name = "route-" + std::to_string(i),
            .host = "host-" + std::to_string(i % 10) + ".example",
            .path_prefix = "/v1/area-" + std::to_string(i / 10) + "/items",
            .service = service_name(i % service_count)};
}

config::config_state filled_state() {
    config::config_state state;
    common::revision at;
    for (int i = 0; i < service_count; ++i) {
        at = at.next();
        config::change record{"fill-" + std::to_string(i), "bench", 1, {}};
        record.operations.emplace_back(
            config::put_operation{config::service_policy{.name = service_name(i)}, {}});
        record.operations.emplace_back(config::put_operation{make_route(i), {}});
        record.operations.emplace_back(config::put_operation{make_route(i + service_count), {}});
        record.operations.emplace_back(config::put_operation{
            config::target_rule{.name = "rule-" + std::to_string(i), .service = service_name(i)}, {}});
        (void)state.apply(at, record);
    }
    return state;
}

void print(const char* name, std::vector<nanoseconds> times) {
    std::ranges::sort(times);
    const auto at = [&times](std::size_t percent) {
        return static_cast<double>(times[(times.size() - 1) * percent / 100].count()) / 1'000.0;
    };
    std::printf("%-28s n=%zu p50=%.1f us p99=%.1f us max=%.1f us\n", name, times.size(), at(50), at(99),
                at(100));
}

template <class Action>
nanoseconds timed(Action action) {
    const auto begin = steady_clock::now();
    action();
    return std::chrono::duration_cast<nanoseconds>(steady_clock::now() - begin);
}

void measure_apply(config::config_state& state, const char* name, auto make_operation) {
    std::vector<nanoseconds> times;
    std::size_t rejected_count = 0;
    for (int i = 0; i < round_count; ++i) {
        const common::revision at = state.snapshot()->version.next();
        const config::change record{"change-" + std::to_string(at.value), "bench", 1, {make_operation(i)}};
        // Holds the previous version, as a daemon's other duties do.
        const auto held = state.snapshot();
        times.push_back(timed([&] {
            const auto result = state.apply(at, record);
            rejected_count += std::holds_alternative<config::rejected>(*result) ? 1 : 0;
        }));
    }
    print(name, std::move(times));
    std::printf("%-28s resources=%zu rejected=%zu\n", "", state.snapshot()->resources.size(), rejected_count);
}

} // namespace

int main() {
    config::config_state state = filled_state();
    measure_apply(state, "apply, put one route", [](int i) {
        return config::put_operation{make_route(i % 1'000), {}};
    });
    measure_apply(state, "apply, rejected service delete", [](int i) {
        return config::delete_operation{
            {config::resource_kind::service_policy, service_name(i % service_count)}, {}};
    });
    return 0;
}
