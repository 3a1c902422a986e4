#include "boragehollow/daemon/instance_duty.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace boragehollow::daemon {
namespace {

using namespace std::chrono_literals;

class instance_duty_test : public testing::Test {
protected:
    instance_duty_test()
        : m_events("h", std::make_shared<common::hybrid_clock>(), [](const telemetry::timeline_event&) {}) {}

    instance_sinks sinks() {
        return {[this](const std::optional<admission::current_instance>& instance) {
                    m_available = instance.has_value();
                },
                [](const auto&, const common::reply_slot<bool>& saved) { saved.set(true); }};
    }

    /// Sends an announcement of the target "i-1" and waits for the reply.
    static void announce(instance_duty& duty, std::uint64_t sequence) {
        instance_announced message{
            {"i-1", {"10.0.0.1", 8080}, "desk", 6, admission::target_state::ready, 10, sequence}, {}, {}};
        const auto reply = message.reply;
        ASSERT_TRUE(duty.ring().try_push(instance_message(std::move(message))));
        ASSERT_TRUE(reply.wait_until(common::steady_clock::now() + 2s));
    }

    std::atomic<bool> m_available{false};
    telemetry::event_log m_events;
};

// Guards against a target that is dropped between two announcements after the platform made their interval
// longer.
TEST_F(instance_duty_test, changed_silence_timeout_applies_to_the_current_target) {
    instance_duty duty({"desk", std::nullopt, 300ms}, sinks(), 16, m_events);
    announce(duty, 1);
    announce(duty, 2);
    EXPECT_TRUE(m_available);
    ASSERT_TRUE(duty.ring().try_push(instance_message(silence_timeout_changed{1min})));
    std::this_thread::sleep_for(1'500ms);
    EXPECT_TRUE(m_available);
    ASSERT_TRUE(duty.ring().try_push(instance_message(silence_timeout_changed{300ms})));
    std::this_thread::sleep_for(1'500ms);
    EXPECT_FALSE(m_available);
}

} // namespace
} // namespace boragehollow::daemon
