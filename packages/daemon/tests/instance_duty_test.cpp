#include "boragehollow/daemon/instance_duty.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>
#include <utility>
#include <vector>

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
                [this](const std::vector<admission::withdrawn_instance>& withdrawn,
                       const common::save_progress& progress) {
                    ++m_saves;
                    m_saved = withdrawn.size();
                    const auto attempt = progress.begin();
                    if (m_accepts_saves) {
                        attempt->succeed();
                    }
                }};
    }

    /// Sends an announcement of the target "i-1". False if the drain that it reports is not saved.
    static bool announce(instance_duty& duty, std::uint64_t sequence,
                         admission::target_state state = admission::target_state::ready) {
        instance_announced message{{"i-1", {"10.0.0.1", 8080}, "desk", 6, state, 10, sequence}, {}};
        const auto reply = message.reply;
        EXPECT_TRUE(duty.ring().try_push(instance_message(std::move(message))));
        const auto replied = reply.wait_until(common::steady_clock::now() + 2s);
        EXPECT_TRUE(replied);
        return replied && (!replied->saved || replied->saved->wait_until(common::steady_clock::now() + 1s));
    }

    static void restore(instance_duty& duty, history_source source,
                        std::vector<admission::withdrawn_instance> withdrawn) {
        EXPECT_TRUE(duty.ring().try_push(instance_message(history_restored{source, std::move(withdrawn)})));
    }

    std::atomic<bool> m_available{false};
    std::atomic<bool> m_accepts_saves{true};
    std::atomic<int> m_saves{0};
    std::atomic<std::size_t> m_saved{0};
    telemetry::event_log m_events;
};

// Guards against a target that is dropped between two announcements after the platform made their interval
// longer.
TEST_F(instance_duty_test, changed_silence_timeout_applies_to_the_current_target) {
    instance_duty duty({"desk", std::nullopt, 300ms}, sinks(), 16, m_events);
    EXPECT_TRUE(announce(duty, 1));
    EXPECT_TRUE(announce(duty, 2));
    EXPECT_TRUE(m_available);
    ASSERT_TRUE(duty.ring().try_push(instance_message(silence_timeout_changed{1min})));
    std::this_thread::sleep_for(1'500ms);
    EXPECT_TRUE(m_available);
    ASSERT_TRUE(duty.ring().try_push(instance_message(silence_timeout_changed{300ms})));
    std::this_thread::sleep_for(1'500ms);
    EXPECT_FALSE(m_available);
}

// Guards against an acknowledged drain that only the memory of this process holds, and against one that is
// never acknowledged because the first attempt to save it failed.
TEST_F(instance_duty_test, drain_is_saved_again_until_it_is_saved) {
    instance_duty duty({"desk", std::nullopt, 1min}, sinks(), 16, m_events);
    EXPECT_TRUE(announce(duty, 1));
    m_accepts_saves = false;
    EXPECT_FALSE(announce(duty, 2, admission::target_state::draining));
    EXPECT_FALSE(announce(duty, 3, admission::target_state::draining));
    m_accepts_saves = true;
    EXPECT_TRUE(announce(duty, 4, admission::target_state::draining));
    EXPECT_EQ(m_saves, 3);
    EXPECT_TRUE(announce(duty, 5, admission::target_state::draining));
    EXPECT_EQ(m_saves, 3) << "a drain that is saved needs no further calls of the platform";
}

// Guards against a delayed announcement that makes a target available because the platform knows of no
// withdrawal, although another daemon does: the platform was away when the target left (review case 9).
TEST_F(instance_duty_test, single_announcement_counts_only_after_log_and_mesh_have_told) {
    instance_duty duty({"desk", std::nullopt, 1min}, sinks(), 16, m_events);
    restore(duty, history_source::log, {});
    EXPECT_TRUE(announce(duty, 7));
    EXPECT_FALSE(m_available);
    restore(duty, history_source::mesh, {{.id = "i-1", .incarnation = 10, .ended = true}});
    EXPECT_TRUE(announce(duty, 8));
    EXPECT_FALSE(m_available);
    EXPECT_EQ(m_saved, 1U) << "the platform is told what it missed";

    instance_duty other({"desk", std::nullopt, 1min}, sinks(), 16, m_events);
    restore(other, history_source::mesh, {});
    EXPECT_TRUE(announce(other, 7));
    EXPECT_FALSE(m_available);
    restore(other, history_source::log, {});
    EXPECT_TRUE(announce(other, 7));
    EXPECT_TRUE(m_available);
}

} // namespace
} // namespace boragehollow::daemon
