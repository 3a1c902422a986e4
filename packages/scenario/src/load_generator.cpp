#include "load_generator.hpp"

#include "caller.hpp"
#include "interruptible_wait.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace boragehollow::scenario {

namespace {

using std::chrono::microseconds;

/// Concurrent calls; at a mean duration of 1 s this allows 48 calls per second.
constexpr std::size_t max_open_calls = 48;

constexpr std::size_t call_queue_capacity = 1024;

const weighted_call& pick(const load_statement& load, common::random_source& random) {
    const auto sum =
        std::accumulate(load.mix.begin(), load.mix.end(), std::size_t{0},
                        [](std::size_t total, const weighted_call& each) { return total + each.weight; });
    std::size_t drawn = random.index(sum);
    for (const weighted_call& each : load.mix) {
        if (drawn < each.weight) {
            return each;
        }
        drawn -= each.weight;
    }
    return load.mix.back();
}

} // namespace

call_result unsent_result(const call_plan& plan, const std::string& id, const std::string& daemon) {
    call_result result;
    result.id = id;
    result.method = plan.method;
    result.via = daemon;
    result.sent = common::wall_now();
    result.outcome = call_outcome::not_run;
    result.reason = "the runner's call queue is full";
    return result;
}

load_generator::load_generator(recorder& results) : m_recorder(results), m_call_queue(call_queue_capacity) {
    m_workers.reserve(max_open_calls);
    for (std::size_t index = 0; index < max_open_calls; ++index) {
        m_workers.push_back(std::make_unique<common::duty>(
            "caller", [this](const std::stop_token& stop) { run_worker(stop); }));
    }
}

load_generator::~load_generator() {
    for (const auto& pacer : m_pacers) {
        pacer->request_stop();
    }
    m_pacers.clear();
    m_call_queue.close();
    for (const auto& worker : m_workers) {
        worker->request_stop();
    }
}

void load_generator::send(const std::string& workload, const call_plan& plan,
                          const call_entry_point& entry_point, const std::string& id) {
    m_recorder.workload_issued(workload, 1);
    enqueue({workload, plan, entry_point, id});
}

void load_generator::run_load(const load_statement& load, std::vector<call_entry_point> entry_points,
                              std::uint64_t seed) {
    m_recorder.workload_started(load.name);
    m_pacers.push_back(std::make_unique<common::duty>(
        "pacer", [this, load, entry_points = std::move(entry_points), seed](const std::stop_token& stop) {
            run_pacer(load, entry_points, seed, stop);
        }));
}

void load_generator::enqueue(const queued_call& next) {
    if (!m_call_queue.try_push(next)) {
        m_recorder.add_result(next.workload, unsent_result(next.plan, next.id, next.entry_point.daemon));
    }
}

void load_generator::run_worker(const std::stop_token& stop) {
    while (auto next = m_call_queue.pop()) {
        if (stop.stop_requested()) {
            return;
        }
        call_result result = perform_call(next->plan, next->entry_point.address, next->id, stop);
        result.via = next->entry_point.daemon;
        m_recorder.add_result(next->workload, std::move(result));
    }
}

void load_generator::run_pacer(const load_statement& load, const std::vector<call_entry_point>& entry_points,
                               std::uint64_t seed, const std::stop_token& stop) {
    common::random_source random(seed);
    const std::size_t total =
        static_cast<std::size_t>(load.per_second) * static_cast<std::size_t>(load.duration.count()) / 1000;
    const microseconds step(1'000'000 / load.per_second);
    const auto started = common::steady_clock::now();
    std::size_t issued = 0;
    while (issued < total) {
        const auto due = started + step * static_cast<std::int64_t>(issued);
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(due - common::steady_clock::now());
        if (left.count() > 0 && !wait_for(stop, left)) {
            break;
        }
        const weighted_call& chosen = pick(load, random);
        enqueue(
            {load.name, chosen.plan, entry_points[random.index(entry_points.size())], random.identifier()});
        ++issued;
    }
    m_recorder.workload_issued(load.name, issued);
}

} // namespace boragehollow::scenario
