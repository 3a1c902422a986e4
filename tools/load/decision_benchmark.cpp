// Measures the time of one balancing decision and one admission decision, in nanoseconds.
#include "boragehollow/admission/admission_controller.hpp"
#include "boragehollow/balancing/balancer.hpp"

#include <cstdio>
#include <string>
#include <vector>

namespace {

using namespace boragehollow;
using common::steady_clock;
using common::steady_time;
using std::chrono::microseconds;
using std::chrono::seconds;

constexpr int rounds = 200'000;

double nanoseconds_per_call(steady_time start, int count) {
    return std::chrono::duration<double, std::nano>(steady_clock::now() - start).count() / count;
}

std::vector<balancing::target_view> make_targets(int count, steady_time now) {
    std::vector<balancing::target_view> views;
    views.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        balancing::target_view view;
        view.host = "host-" + std::to_string(i);
        view.failure_domain = i % 3 == 0 ? "near" : "far";
        view.slots = 6;
        view.first_seen = now - seconds(1'000);
        views.push_back(std::move(view));
    }
    return views;
}

void measure_choose(int targets, const config::balancing_policy& policy, const char* name, bool keyed) {
    steady_time now{seconds(10'000)};
    balancing::balancer subject(balancing::balancer_settings{"near"}, common::random_source(1));
    config::service_policy service;
    service.name = "desk";
    service.balancing = policy;
    subject.update_policy(service, {}, now);
    subject.update_targets("desk", make_targets(targets, now), now);
    balancing::attempt_request request;
    request.service = "desk";
    request.idempotent = true;
    request.deadline = now + seconds(100'000);
    if (keyed) {
        request.idempotency_key = "order-1";
    }
    const balancing::piggybacked_load load{1, 2, 6};
    const steady_time begin = steady_clock::now();
    for (int i = 0; i < rounds; ++i) {
        now += microseconds(100);
        const auto choice = subject.choose(request, now);
        if (!choice) {
            std::printf("no target was chosen: %s\n", std::string(to_string(choice.error().reason)).c_str());
            return;
        }
        subject.record_result(
            {choice->id, balancing::attempt_outcome::answered, microseconds(2'000 + i % 500), load}, now);
    }
    const double choose_ns = nanoseconds_per_call(begin, rounds);
    std::printf("choose+finished targets=%d policy=%s ns=%.0f\n", targets, name, choose_ns);
}

void measure_submit(int queued) {
    steady_time now{seconds(10'000)};
    admission::admission_controller subject(admission::admission_settings{});
    config::admission_policy policy;
    policy.queue_length = 1'000;
    policy.queue_max_wait = std::chrono::milliseconds(3'600'000);
    subject.update_policy(policy, now);
    subject.update_target(admission::local_target{"desk", 6, admission::target_state::ready}, now);
    std::uint64_t number = 0;
    const auto submit = [&] {
        admission::admission_request request;
        request.id = {++number};
        request.call_id = "00112233445566778899aabb" + std::to_string(number);
        request.service = "desk";
        request.caller = "caller-" + std::to_string(number % 20);
        request.deadline = now + seconds(10'000);
        return subject.submit(std::move(request), now);
    };
    std::vector<admission::admission_id> running;
    const auto record_grants = [&running](const admission::admission_controller::effects& effects) {
        for (const auto& one : effects) {
            if (const auto* grant = std::get_if<admission::granted>(&one)) {
                running.push_back(grant->id);
            }
        }
    };
    // The first 6 calls take the target's slots; the others are queued.
    for (int i = 0; i < queued; ++i) {
        record_grants(submit());
    }
    const steady_time begin = steady_clock::now();
    std::size_t oldest = 0;
    for (int i = 0; i < rounds; ++i) {
        now += microseconds(100);
        record_grants(submit());
        const admission::admission_id done = running.at(oldest++);
        record_grants(subject.finish(done, microseconds(100), admission::call_result::answered, now));
    }
    const double cost = nanoseconds_per_call(begin, rounds);
    std::printf("submit+finished queued=%d ns=%.0f ids=%zu\n", queued > 6 ? queued - 6 : 0, cost,
                subject.status().call_ids);
}

} // namespace

int main() {
    for (const int targets : {22, 500}) {
        measure_choose(targets, config::peak_ewma{}, "peak_ewma", false);
        measure_choose(targets, config::least_loaded{}, "least_loaded", false);
        measure_choose(targets, config::round_robin{}, "round_robin", false);
        measure_choose(targets, config::random_choice{}, "random", false);
        measure_choose(targets, config::peak_ewma{}, "keyed", true);
    }
    measure_submit(0);
    measure_submit(70);
    measure_submit(506);
    return 0;
}
