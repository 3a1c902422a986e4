#include "boragehollow/common/random_source.hpp"
#include "fixture.hpp"

#include <map>
#include <set>

namespace boragehollow::admission {
namespace {

using config::work_class;

/// Runs random submissions, duplicates, results, cancellations, pauses and target changes against a simple
/// model.
class random_operations {
public:
    explicit random_operations(std::uint64_t seed) : m_random(seed) {
        m_policy.reserved_short_slots = 2;
        m_policy.queue_length = 12;
        m_policy.long_threshold = milliseconds(300);
        record_effects(m_controller.update_policy(m_policy, m_now));
        change_target();
    }

    void step() {
        // Steps of less than 20 ms; one in 100 is a process pause of 2 s.
        m_now += microseconds(m_random.index(100) == 0 ? 2'000'000 : m_random.index(20'000));
        record_effects(m_controller.tick(m_now));
        const auto wakeup = m_controller.next_wakeup();
        EXPECT_TRUE(!wakeup || *wakeup > m_now) << "the admission thread would spin";
        const std::size_t action = m_random.index(100);
        if (action < 50) {
            submit();
        } else if (action < 90) {
            finish();
        } else if (action < 97) {
            cancel();
        } else {
            change_target();
        }
        check();
    }

    std::size_t grants() const { return m_grants; }

private:
    void submit() {
        admission_request request;
        request.id = admission_id{++m_last_id};
        // Few ids, so that duplicates and late retries are common.
        request.call_id = "call" + std::to_string(m_random.index(3'000));
        request.idempotent = m_random.index(3) == 0;
        request.call_id += request.idempotent ? "i" : "";
        if (m_random.index(4) == 0) {
            request.idempotency_key = "key" + std::to_string(m_random.index(500));
        }
        request.service = "desk";
        request.caller = "caller" + std::to_string(m_random.index(4));
        request.work = m_random.index(4) == 0 ? work_class::long_work : work_class::short_work;
        request.deadline = m_now + milliseconds(m_random.index(400));
        m_requests.emplace(request.id.value, request);
        m_waiting.insert(request.id.value);
        record_effects(m_controller.submit(request, m_now));
    }

    void finish() {
        if (m_running.empty()) {
            return;
        }
        auto one = m_running.begin();
        std::advance(one, static_cast<std::ptrdiff_t>(m_random.index(m_running.size())));
        const std::uint64_t number = *one;
        m_running.erase(one);
        const auto result = static_cast<call_result>(m_random.index(5));
        const admission_request& request = m_requests.at(number);
        if (result == call_result::not_started) {
            m_started_ids.erase(request.call_id);
            m_keys.erase(request.idempotency_key.value_or(""));
        }
        record_effects(
            m_controller.finish(admission_id{number}, milliseconds(m_random.index(30)), result, m_now));
    }

    void cancel() {
        const std::uint64_t number = 1 + m_random.index(m_last_id + 1);
        m_waiting.erase(number);
        m_running.erase(number);
        record_effects(m_controller.cancel(admission_id{number}, m_now));
    }

    void change_target() {
        m_slots = static_cast<std::uint32_t>(3 + m_random.index(6));
        const bool drain = m_random.index(4) == 0;
        const auto state = drain ? target_state::draining : target_state::ready;
        record_effects(m_controller.update_target(local_target{"desk", m_slots, state}, m_now));
        if (drain) {
            EXPECT_TRUE(m_waiting.empty()) << "a draining target refuses all queued calls at once";
            record_effects(
                m_controller.update_target(local_target{"desk", m_slots, target_state::ready}, m_now));
        }
    }

    void record_effects(const admission_controller::effects& effects) {
        for (const effect& one : effects) {
            const std::uint64_t number =
                std::visit([](const auto& concrete) { return concrete.id.value; }, one);
            ASSERT_EQ(m_waiting.erase(number), 1U)
                << "admission id " << number << " was already granted, refused or cancelled";
            if (std::holds_alternative<granted>(one)) {
                record_start(number);
            }
        }
    }

    void record_start(std::uint64_t number) {
        const admission_request& request = m_requests.at(number);
        ++m_grants;
        EXPECT_GT(request.deadline, m_now);
        EXPECT_TRUE(m_running.insert(number).second);
        EXPECT_LE(m_running.size(), m_slots);
        if (!request.idempotent) {
            EXPECT_TRUE(m_started_ids.insert(request.call_id).second) << request.call_id << " started twice";
        }
        if (request.idempotency_key) {
            const auto known = m_keys.find(*request.idempotency_key);
            EXPECT_TRUE(known == m_keys.end() || m_now - known->second >= seconds(120))
                << *request.idempotency_key;
            m_keys[*request.idempotency_key] = m_now;
        }
    }

    void check() const {
        const admission_status status = m_controller.status();
        EXPECT_EQ(status.running_short + status.running_long, m_running.size());
        EXPECT_EQ(status.queued_short + status.queued_long, m_waiting.size());
        const bool reserved_slot_free = status.running_short < 2 && m_running.size() < m_slots;
        EXPECT_TRUE(!reserved_slot_free || status.queued_short == 0)
            << "a short call waits although a reserved slot is free";
    }

    common::random_source m_random;
    config::admission_policy m_policy;
    admission_controller m_controller{admission_settings{}};
    steady_time m_now = steady_time(hours(1));
    std::uint32_t m_slots = 0;
    std::uint64_t m_last_id = 0;
    std::size_t m_grants = 0;
    std::map<std::uint64_t, admission_request> m_requests;
    std::set<std::uint64_t> m_waiting;
    std::set<std::uint64_t> m_running;
    std::set<std::string> m_started_ids;
    std::map<std::string, steady_time> m_keys;
};

TEST(admission_property, random_operations_keep_all_invariants) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        random_operations operations(seed);
        for (int i = 0; i < 5'000 && !::testing::Test::HasFailure(); ++i) {
            operations.step();
        }
        EXPECT_GT(operations.grants(), 500U);
    }
}

} // namespace
} // namespace boragehollow::admission
