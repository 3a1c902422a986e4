#include "boragehollow/daemon/registry_duty.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace boragehollow::daemon {
namespace {

using namespace std::chrono_literals;

class registry_duty_test : public testing::Test {
protected:
    registry_duty_test()
        : m_events("h", std::make_shared<common::hybrid_clock>(), [](const telemetry::timeline_event&) {}) {}

    registry_access access() {
        registry_access result;
        result.register_self = [this](const std::stop_token&) -> tl::expected<void, std::string> {
            ++m_registrations;
            if (!m_accepts_registrations) {
                return tl::unexpected<std::string>("refused");
            }
            return {};
        };
        result.list = [this](const std::stop_token&) -> tl::expected<registry_listing, std::string> {
            ++m_lookups;
            if (!m_accepts_lookups) {
                return tl::unexpected<std::string>("refused");
            }
            return registry_listing{{{"127.0.0.1", 1}}, {{.id = "i-1", .incarnation = 7, .ended = true}}};
        };
        result.save_withdrawn = [this](const std::vector<admission::withdrawn_instance>& withdrawn,
                                       const std::stop_token&) -> tl::expected<void, std::string> {
            ++m_saves;
            if (!m_accepts_saves) {
                return tl::unexpected<std::string>("refused");
            }
            m_saved = withdrawn.size();
            return {};
        };
        result.observe = [this] { return mesh_observation{m_isolated, false}; };
        result.log_epoch = [this] { return m_log_epoch.load(); };
        return result;
    }

    registry_sinks sinks() {
        return {[](const auto&) {},
                [this](const auto& withdrawn) {
                    ++m_restorations;
                    m_restored = withdrawn.size();
                }};
    }

    bool eventually(const std::function<bool()>& condition) const {
        const auto end = common::steady_clock::now() + 5s;
        while (!condition() && common::steady_clock::now() < end) {
            std::this_thread::sleep_for(5ms);
        }
        return condition();
    }

    std::atomic<std::uint64_t> m_log_epoch{0};
    std::atomic<bool> m_accepts_registrations{true};
    std::atomic<bool> m_accepts_lookups{true};
    std::atomic<bool> m_isolated{false};
    std::atomic<int> m_registrations{0};
    std::atomic<int> m_lookups{0};
    std::atomic<bool> m_accepts_saves{true};
    std::atomic<int> m_saves{0};
    std::atomic<std::size_t> m_saved{0};
    std::atomic<int> m_restorations{0};
    std::atomic<std::size_t> m_restored{0};
    telemetry::event_log m_events;
};

// Guards against unnecessary platform calls, for which the platform charges, by a daemon that gossip keeps up
// to date.
TEST_F(registry_duty_test, a_daemon_that_knows_others_registers_and_looks_up_once) {
    const registry_duty duty(access(), sinks(), common::random_source(1), m_events);
    std::this_thread::sleep_for(3s);
    EXPECT_EQ(m_registrations, 1);
    EXPECT_EQ(m_lookups, 1);
}

// Guards against a daemon that stays isolated after others have registered.
TEST_F(registry_duty_test, an_isolated_daemon_repeats_the_lookup_until_it_finds_others) {
    m_isolated = true;
    const registry_duty duty(access(), sinks(), common::random_source(1), m_events);
    ASSERT_TRUE(eventually([this] { return m_lookups >= 2; }));
    m_isolated = false;
    std::this_thread::sleep_for(1600ms);
    const int before = m_lookups;
    std::this_thread::sleep_for(1600ms);
    EXPECT_EQ(m_lookups, before);
}

// Guards against a daemon that others cannot find because the platform refused its registration once.
TEST_F(registry_duty_test, a_refused_registration_is_retried) {
    m_accepts_registrations = false;
    const registry_duty duty(access(), sinks(), common::random_source(1), m_events);
    ASSERT_TRUE(eventually([this] { return m_registrations >= 2; }));
    m_accepts_registrations = true;
    const int before = m_registrations;
    EXPECT_TRUE(eventually([&] { return m_registrations == before + 1; }));
    std::this_thread::sleep_for(500ms);
    EXPECT_EQ(m_registrations, before + 1);
}

// Guards against a withdrawn target that is used again after a restart, because the platform refused to save
// its withdrawal once or because the saved state is not read at the start.
TEST_F(registry_duty_test, withdrawn_instances_are_saved_and_restored_once) {
    m_accepts_saves = false;
    registry_duty duty(access(), sinks(), common::random_source(1), m_events);
    ASSERT_TRUE(eventually([this] { return m_restorations == 1; }));
    EXPECT_EQ(m_restored, 1U);
    const common::save_progress first;
    ASSERT_TRUE(duty.ring().try_push(save_withdrawn{{{.id = "i-1", .incarnation = 8}}, first.begin()}));
    EXPECT_FALSE(first.wait_until(common::steady_clock::now() + 2s));
    const common::save_progress second;
    ASSERT_TRUE(duty.ring().try_push(
        save_withdrawn{{{.id = "i-1", .incarnation = 8}, {.id = "i-2", .incarnation = 9}}, second.begin()}));
    EXPECT_FALSE(second.wait_until(common::steady_clock::now() + 2s));
    m_accepts_saves = true;
    EXPECT_TRUE(eventually([this] { return m_saved == 2U; }));
    EXPECT_TRUE(second.wait_until(common::steady_clock::now() + 2s));
    EXPECT_FALSE(first.succeeded());
    const int saves = m_saves;
    std::this_thread::sleep_for(1500ms);
    EXPECT_EQ(m_saves, saves);
    EXPECT_EQ(m_restorations, 1);
}

// Guards against a save right after the start that replaces what the previous process saved, before it was
// read.
TEST_F(registry_duty_test, first_save_follows_the_first_lookup) {
    m_accepts_lookups = false;
    registry_duty duty(access(), sinks(), common::random_source(1), m_events);
    const common::save_progress progress;
    ASSERT_TRUE(duty.ring().try_push(save_withdrawn{{{.id = "i-2", .incarnation = 8}}, progress.begin()}));
    ASSERT_TRUE(eventually([this] { return m_lookups >= 2; }));
    EXPECT_EQ(m_saves, 0);
    m_accepts_lookups = true;
    EXPECT_TRUE(progress.wait_until(common::steady_clock::now() + 5s));
    EXPECT_EQ(m_restorations, 1);
}

// Guards against a withdrawn target that is used again, and a daemon that others cannot find: the platform
// log came back from a copy that was taken before they were written.
TEST_F(registry_duty_test, writes_again_what_a_restored_log_may_have_lost) {
    m_log_epoch = 1;
    registry_duty duty(access(), sinks(), common::random_source(1), m_events);
    ASSERT_TRUE(eventually([this] { return m_registrations == 1; }));
    const common::save_progress progress;
    ASSERT_TRUE(duty.ring().try_push(save_withdrawn{{{.id = "i-1", .incarnation = 8}}, progress.begin()}));
    EXPECT_TRUE(progress.wait_until(common::steady_clock::now() + 2s));
    const int saves = m_saves;
    m_log_epoch = 2;
    EXPECT_TRUE(eventually([&] { return m_registrations == 2 && m_saves == saves + 1; }));
    EXPECT_EQ(m_saved, 1U);
}

} // namespace
} // namespace boragehollow::daemon
