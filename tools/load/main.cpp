#include "boragehollow/common/duty.hpp"
#include "messages.hpp"
#include "options.hpp"
#include "plan.hpp"
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

constexpr std::size_t plan_ring_size = 100'000;
constexpr std::size_t record_ring_size = 100'000;
constexpr std::chrono::seconds recorder_wait{5};

struct rings {
    load::plan_ring planned{plan_ring_size};
    load::record_ring records{record_ring_size};
};

void record_not_sent(rings& joined, load::planned_request request, const char* reason) {
    load::answer result;
    result.latency =
        std::chrono::duration_cast<load::microseconds>(common::steady_clock::now() - request.intended);
    result.request = std::move(request);
    result.reason = reason;
    result.end = common::wall_now();
    joined.records.push_until(std::move(result), common::steady_clock::now() + recorder_wait);
}

/// Sends each request into the ring at its time, whatever became of earlier ones.
void arrive(const load::load_options& options, steady_time start, rings& joined) {
    load::arrival_plan plan(options, start);
    while (auto request = plan.next()) {
        std::this_thread::sleep_until(request->intended);
        joined.records.push_until(*request, common::steady_clock::now() + recorder_wait);
        if (!joined.planned.try_push(std::move(*request))) {
            record_not_sent(joined, std::move(*request), "too many requests wait for a worker");
        }
    }
    joined.planned.close();
}

void work(const load::load_options& options, steady_time give_up, rings& joined) {
    load::sender sender(options);
    while (auto request = joined.planned.pop()) {
        if (common::steady_clock::now() >= give_up) {
            record_not_sent(joined, std::move(*request), "no worker was free before the end");
            continue;
        }
        joined.records.push_until(sender.send(std::move(*request)),
                                  common::steady_clock::now() + recorder_wait);
    }
}

/// Waits for `count` messages; false when they did not come until `limit`.
bool wait_for(common::bounded_ring<bool>& ended, std::uint32_t count, steady_time limit) {
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
    rings joined;
    const steady_time start = common::steady_clock::now();
    const steady_time give_up = start + options.duration + options.grace;
    common::duty recorder("recorder", [&](const std::stop_token&) {
        while (const auto message = joined.records.pop()) {
            std::visit([&records](const auto& concrete) { records.add(concrete); }, *message);
        }
    });
    std::vector<std::unique_ptr<common::duty>> workers;
    workers.reserve(options.workers);
    common::bounded_ring<bool> ended(options.workers);
    for (std::uint32_t i = 0; i < options.workers; ++i) {
        workers.push_back(std::make_unique<common::duty>("worker", [&](const std::stop_token&) {
            work(options, give_up, joined);
            ended.try_push(true);
        }));
    }
    arrive(options, start, joined);
    // CivetWeb's client waits without a limit for the rest of a body, so a worker may never end.
    const bool all_ended = wait_for(ended, options.workers, give_up + options.timeout);
    joined.records.close();
    recorder.join();
    const std::size_t stalled = records.give_up_open();
    const nlohmann::json summary = records.summary(common::steady_clock::now() - start);
    print(summary);
    if (!options.summary.empty()) {
        std::ofstream(options.summary, std::ios::trunc) << summary.dump(2) << '\n';
    }
    const int result = records.count(load::outcome::wrong) > 0 ? 1 : 0;
    if (!all_ended) {
        std::fprintf(stderr, "%zu requests did not end within the time-out\n", stalled);
        std::fflush(nullptr);
        // The worker threads that are stuck cannot be joined.
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
