#include "boragehollow/admission/admission_controller.hpp"
#include "boragehollow/admission/shedding_outlook.hpp"
#include "boragehollow/common/random_source.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace boragehollow::admission {
namespace {

using namespace std::chrono_literals;

/// Ten targets, each behind its own admission controller, of which the first ones shed a part of their calls
/// at once. Callers choose targets at random and follow refusals to other targets.
class shedding_service {
public:
    shedding_service(std::size_t shedding_targets, double shed_share, bool callers_accept_shedding)
        : m_shedding_targets(shedding_targets), m_shed_share(shed_share),
          m_callers_accept_shedding(callers_accept_shedding) {
        admission_settings settings;
        settings.repeats = {0.1, 0.16};
        config::admission_policy policy;
        policy.adaptive_limit = false;
        for (std::size_t i = 0; i < target_count; ++i) {
            m_gates.push_back(std::make_unique<admission_controller>(settings));
            m_gates.back()->update_policy(policy, m_now);
            m_gates.back()->update_target(local_target{"desk", 64, target_state::ready}, m_now);
        }
    }

    /// Returns the share of calls that a target ran.
    double run(int calls) {
        int served = 0;
        for (int i = 0; i < calls; ++i) {
            m_now += 2ms;
            served += serve() ? 1 : 0;
        }
        return static_cast<double>(served) / calls;
    }

    void end_shedding() { m_shed_share = 0; }
    int arrivals() const { return m_arrivals; }
    int offers() const { return m_offers; }

private:
    static constexpr std::size_t target_count = 10;
    static constexpr int max_refusals = 4;
    static constexpr int max_attempts = 3;

    bool serve() {
        bool accepts_shedding = m_callers_accept_shedding || m_outlook.shedding_is_common();
        int attempts = 0;
        std::vector<std::size_t> tried;
        for (int refusals = 0; refusals < max_refusals && attempts < max_attempts;) {
            std::size_t index = m_random.index(target_count);
            while (std::find(tried.begin(), tried.end(), index) != tried.end()) {
                index = m_random.index(target_count);
            }
            tried.push_back(index);
            admission_request request;
            request.id = {++m_last_id};
            request.call_id = std::to_string(m_last_id);
            request.service = "desk";
            request.idempotent = true;
            request.deadline = m_now + 1s;
            request.retry = attempts > 0;
            request.accepts_shedding = accepts_shedding;
            const admission_id id = request.id;
            ++m_offers;
            const auto effects = m_gates[index]->submit(std::move(request), m_now);
            m_outlook.record(m_gates[index]->target_sheds());
            if (const auto* refusal = std::get_if<refused>(&effects.front())) {
                if (refusal->reason == refusal_reason::retry_limit) {
                    return false;
                }
                accepts_shedding = accepts_shedding || refusal->reason == refusal_reason::target_sheds;
                ++refusals;
                continue;
            }
            ++attempts;
            ++m_arrivals;
            const bool shed = index < m_shedding_targets && m_random.fraction() < m_shed_share;
            m_gates[index]->finish(id, 20ms, shed ? call_result::shed : call_result::answered, m_now);
            if (!shed) {
                return true;
            }
        }
        return false;
    }

    std::size_t m_shedding_targets;
    double m_shed_share;
    bool m_callers_accept_shedding;
    common::random_source m_random{11};
    std::vector<std::unique_ptr<admission_controller>> m_gates;
    steady_time m_now{1h};
    std::uint64_t m_last_id = 0;
    int m_arrivals = 0;
    int m_offers = 0;
    shedding_outlook m_outlook;
};

// Guards against calls that are lost, although most targets could run them, since some targets shed calls
// behind a passing health check: each shed call needs a retry, and the service allows few.
TEST(shedding_simulation, calls_avoid_targets_that_shed) {
    shedding_service plain(3, 0.6, true);
    shedding_service diverted(3, 0.6, false);
    const double before = plain.run(20'000);
    const double after = diverted.run(20'000);
    std::printf("3 of 10 targets shed 60%%: served %.3f without and %.3f with the detour\n", before, after);
    EXPECT_LT(before, 0.93);
    EXPECT_GT(after, 0.98);
}

// Guards against a service that serves fewer calls than it could, when all of its targets shed.
TEST(shedding_simulation, a_service_that_sheds_everywhere_is_still_used) {
    shedding_service plain(10, 0.55, true);
    shedding_service diverted(10, 0.55, false);
    const double before = plain.run(20'000);
    const double after = diverted.run(20'000);
    std::printf("all targets shed 55%%: served %.3f without and %.3f with the detour\n", before, after);
    EXPECT_GT(after, before - 0.01);
    // A detour would cost another offer for most calls.
    EXPECT_LT(diverted.offers(), plain.offers() * 1.1);
}

// Guards against targets that stay avoided after they have recovered.
TEST(shedding_simulation, targets_that_recovered_take_calls_again) {
    shedding_service service(3, 0.9, false);
    service.run(10'000);
    service.end_shedding();
    service.run(2'000);
    const int before = service.arrivals();
    EXPECT_EQ(service.run(2'000), 1.0);
    EXPECT_EQ(service.arrivals() - before, 2'000);
}

} // namespace
} // namespace boragehollow::admission
