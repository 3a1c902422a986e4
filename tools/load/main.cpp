#include "arrival_plan.hpp"
#include "boragehollow/common/duty.hpp"
#include "messages.hpp"
#include "options.hpp"
#include "recorder.hpp"
#include "sender.hpp"

#include <civetweb.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <thread>
#include <variant>

namespace {

using namespace boragehollow;
using load::steady_time;

constexpr std::size_t plan_ring_capacity = 100'000;
constexpr std::size_t record_ring_capacity = 100'000;
constexpr std::chrono::seconds recorder_timeout{5};

struct ring_set {
    load::plan_ring planned{plan_ring_capacity};
    load::record_ring records{record_ring_capacity};
};

void record_not_sent(ring_set& rings, load::planned_request request, const char* reason) {
    load::request_result result;
    result.latency =
        std::chrono::duration_cast<load::microseconds>(common::steady_clock::now() - request.intended);
    result.request = std::move(request);
    result.reason = reason;
    result.end = common::wall_now();
    rings.records.push_until(std::move(result), common::steady_clock::now() + recorder_timeout);
}

/// Open-loop arrivals: queues each request at its intended time, regardless of whether earlier requests have
/// completed.
void generate_arrivals(const load::load_options& options, steady_time start, ring_set& rings) {
    load::arrival_plan plan(options, start);
    while (auto request = plan.next()) {
        std::this_thread::sleep_until(request->intended);
        rings.records.push_until(*request, common::steady_clock::now() + recorder_timeout);
        if (!rings.planned.try_push(std::move(*request))) {
            record_not_sent(rings, std::move(*request), "too many requests wait for a worker");
        }
    }
    rings.planned.close();
}

void run_worker(const load::load_options& options, steady_time send_deadline, ring_set& rings) {
    load::sender sender(options);
    while (auto request = rings.planned.pop()) {
        if (common::steady_clock::now() >= send_deadline) {
            record_not_sent(rings, std::move(*request), "no worker was free before the end");
            continue;
        }
        rings.records.push_until(sender.send(std::move(*request)),
                                 common::steady_clock::now() + recorder_timeout);
    }
}

/// Waits until `count` workers have finished; returns false if they have not by `limit`.
bool wait_for_workers(common::bounded_ring<bool>& ended, std::uint32_t count, steady_time limit) {
    for (std::uint32_t i = 0; i < count; ++i) {
        if (!ended.pop_until(limit)) {
            return false;
        }
    }
    return true;
}

void print(const nlohmann::json& summary) {
    std::printf("requests %llu in %.1f s\n",
                static_cast<unsigned long long>(summary.at("requests").get<std::uint64_t>()),
                summary.at("seconds").get<double>());
    for (const auto& [name, count] : summary.at("outcomes").items()) {
        std::printf("  %-9s %llu\n", name.c_str(),
                    static_cast<unsigned long long>(count.get<std::uint64_t>()));
    }
    for (const auto& [kind, groups] : summary.at("kinds").items()) {
        for (const auto& [group, values] : groups.items()) {
            if (values.at("count") == 0) {
                continue;
            }
            std::printf("  %-8s %-8s n=%-7llu p50=%.2f p90=%.2f p99=%.2f p99.9=%.2f max=%.2f ms\n",
                        kind.c_str(), group.c_str(),
                        static_cast<unsigned long long>(values.at("count").get<std::uint64_t>()),
                        values.at("p50_ms").get<double>(), values.at("p90_ms").get<double>(),
                        values.at("p99_ms").get<double>(), values.at("p999_ms").get<double>(),
                        values.at("max_ms").get<double>());
        }
    }
    for (const auto& [reason, count] : summary.at("reasons").items()) {
        std::printf("  %s: %llu\n", reason.c_str(),
                    static_cast<unsigned long long>(count.get<std::uint64_t>()));
    }
}

int run(const load::load_options& options) {
    load::recorder records(options.answers);
    if (!records.ready()) {
        std::cerr << "cannot write " << options.answers << "\n";
        return 1;
    }
    ring_set rings;
    const steady_time start = common::steady_clock::now();
    const steady_time send_deadline = start + options.duration + options.grace;
    common::duty recorder("recorder", [&](const std::stop_token&) {
        while (const auto message = rings.records.pop()) {
            std::visit([&records](const auto& concrete) { records.add(concrete); }, *message);
        }
    });
    std::vector<std::unique_ptr<common::duty>> workers;
    workers.reserve(options.workers);
    common::bounded_ring<bool> ended(options.workers);
    for (std::uint32_t i = 0; i < options.workers; ++i) {
        workers.push_back(std::make_unique<common::duty>("worker", [&](const std::stop_token&) {
            run_worker(options, send_deadline, rings);
            ended.try_push(true);
        }));
    }
    generate_arrivals(options, start, rings);
    // CivetWeb's client has no timeout for the rest of a response body, so a worker may block forever.
    const bool all_ended = wait_for_workers(ended, options.workers, send_deadline + options.timeout);
    rings.records.close();
    recorder.join();
    const std::size_t stalled = records.mark_pending_broken();
    const nlohmann::json summary = records.summary(common::steady_clock::now() - start);
    print(summary);
    if (!options.summary.empty()) {
        std::ofstream(options.summary, std::ios::trunc) << summary.dump(2) << '\n';
    }
    const int result = records.count(load::request_outcome::wrong) > 0 ? 1 : 0;
    if (!all_ended) {
        std::fprintf(stderr, "%zu requests did not complete within the timeout\n", stalled);
        std::fflush(nullptr);
        // Blocked worker threads cannot be joined, so the process exits without destructors.
        std::_Exit(result);
    }
    return result;
}

} // namespace

int main(int argc, char** argv) {
    const auto options = load::parse_load_options(argc, argv);
    if (!options) {
        (options.error().error ? std::cerr : std::cout) << options.error().text << "\n";
        return options.error().error ? 2 : 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    mg_init_library(0);
    const int result = run(*options);
    mg_exit_library();
    return result;
}
