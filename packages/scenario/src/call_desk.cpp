#include "call_desk.hpp"

#include "caller.hpp"
#include "interruptible_wait.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace boragehollow::scenario {

namespace {

using std::chrono::microseconds;

/// Calls that are open at once. With a mean of 1 s for each this carries 48 calls a second.
constexpr std::size_t worker_count = 48;

constexpr std::size_t waiting_jobs = 1024;

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

call_answer unsent_answer(const call_plan& plan, const std::string& id, const std::string& daemon) {
    call_answer answer;
    answer.id = id;
    answer.method = plan.method;
    answer.via = daemon;
    answer.sent = common::wall_now();
    answer.outcome = call_outcome::not_run;
    answer.reason = "the runner had no room for the call";
    return answer;
}

call_desk::call_desk(recorder& answers) : m_answers(answers), m_jobs(waiting_jobs) {
    m_workers.reserve(worker_count);
    for (std::size_t index = 0; index < worker_count; ++index) {
        m_workers.push_back(std::make_unique<common::duty>(
            "caller", [this](const std::stop_token& stop) { work_off(stop); }));
    }
}

call_desk::~call_desk() {
    for (const auto& pacer : m_pacers) {
        pacer->request_stop();
    }
    m_pacers.clear();
    m_jobs.close();
    for (const auto& worker : m_workers) {
        worker->request_stop();
    }
}

void call_desk::send(const std::string& work, const call_plan& plan, const call_entrance& entrance,
                     const std::string& id) {
    m_answers.work_issued(work, 1);
    enqueue({work, plan, entrance, id});
}

void call_desk::run_load(const load_statement& load, std::vector<call_entrance> entrances,
                         std::uint64_t seed) {
    m_answers.work_started(load.name);
    m_pacers.push_back(std::make_unique<common::duty>(
        "pacer", [this, load, entrances = std::move(entrances), seed](const std::stop_token& stop) {
            pace(load, entrances, seed, stop);
        }));
}

void call_desk::enqueue(const job& next) {
    if (!m_jobs.try_push(next)) {
        m_answers.add_answer(next.work, unsent_answer(next.plan, next.id, next.entrance.daemon));
    }
}

void call_desk::work_off(const std::stop_token& stop) {
    while (auto next = m_jobs.pop()) {
        if (stop.stop_requested()) {
            return;
        }
        call_answer answer = perform_call(next->plan, next->entrance.address, next->id, stop);
        answer.via = next->entrance.daemon;
        m_answers.add_answer(next->work, std::move(answer));
    }
}

void call_desk::pace(const load_statement& load, const std::vector<call_entrance>& entrances,
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
        enqueue({load.name, chosen.plan, entrances[random.index(entrances.size())], random.identifier()});
        ++issued;
    }
    m_answers.work_issued(load.name, issued);
}

} // namespace boragehollow::scenario
