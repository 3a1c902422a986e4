// Benchmarks the configuration libraries with 2,000 resources: 500 service policies, 1,000 routes and 500
// target rules.
#include "boragehollow/codec/change_codec.hpp"
#include "boragehollow/codec/state_codec.hpp"
#include "boragehollow/common/time.hpp"
#include "boragehollow/config/config_state.hpp"
#include "boragehollow/routing/route_table.hpp"

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
        // Keeps the previous version alive, as the other threads of a daemon do while they use a snapshot.
        const auto held = state.snapshot();
        times.push_back(timed([&] {
            const auto result = state.apply(at, record);
            rejected_count += std::holds_alternative<config::rejected>(*result) ? 1 : 0;
        }));
    }
    print(name, std::move(times));
    std::printf("%-28s resources=%zu rejected=%zu\n", "", state.snapshot()->resources.size(), rejected_count);
}

/// Times lookups in batches, since a single lookup is too short for the clock's resolution.
void measure_match(const routing::route_table& table) {
    constexpr int batch = 100;
    std::vector<nanoseconds> times;
    std::size_t found_count = 0;
    std::vector<config::route> routes;
    for (int i = 0; i < 1'000; ++i) {
        routes.push_back(make_route(i));
        routes.back().path_prefix += "/7";
    }
    for (int round = 0; round < round_count; ++round) {
        const nanoseconds spent = timed([&] {
            for (int i = 0; i < batch; ++i) {
                const config::route& wanted =
                    routes[static_cast<std::size_t>(round * 7 + i * 13) % routes.size()];
                found_count += table.match(wanted.host, wanted.path_prefix, "GET") ? 1 : 0;
            }
        });
        times.push_back(spent / batch);
    }
    print("match", std::move(times));
    std::printf("%-28s found=%zu of %d\n", "", found_count, batch * round_count);
}

void measure_state_codec(const config::config_snapshot& snapshot) {
    constexpr int rounds = 50;
    std::vector<nanoseconds> encode_times;
    std::vector<nanoseconds> decode_times;
    encode_times.reserve(rounds);
    decode_times.reserve(rounds);
    std::string bytes;
    std::size_t failed_count = 0;
    for (int i = 0; i < rounds; ++i) {
        encode_times.push_back(timed([&] { bytes = codec::encode_state(snapshot); }));
        decode_times.push_back(timed([&] { failed_count += codec::decode_state(bytes) ? 0 : 1; }));
    }
    print("encode the state", std::move(encode_times));
    print("decode the state", std::move(decode_times));
    std::printf("%-28s outcomes=%zu bytes=%zu chunks=%zu failed=%zu\n", "", snapshot.outcomes().size(),
                bytes.size(), codec::split_state(snapshot).size(), failed_count);
    const config::change one{"0123456789abcdef0123456789abcdef",
                             "bench",
                             1,
                             {config::put_operation{make_route(7), config::revision{7}}}};
    std::printf("%-28s bytes=%zu\n", "change that puts one route", codec::encode_change(one)->size());
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
    std::vector<nanoseconds> build_times;
    build_times.reserve(200);
    for (int i = 0; i < 200; ++i) {
        build_times.push_back(timed([&state] { (void)routing::route_table::build(state.snapshot()); }));
    }
    print("build the route table", std::move(build_times));
    measure_match(routing::route_table::build(state.snapshot()));
    measure_state_codec(*state.snapshot());
    return 0;
}
