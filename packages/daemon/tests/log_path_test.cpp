#include "boragehollow/common/shared_snapshot.hpp"
#include "boragehollow/daemon/apply_duty.hpp"
#include "boragehollow/daemon/log_reader_duty.hpp"
#include "boragehollow/daemon/publisher_duty.hpp"
#include "boragehollow/daemon/spreading_duty.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>
#include <utility>

namespace boragehollow::daemon {
namespace {

using namespace std::chrono_literals;

settings::platform_settings fast_platform() {
    settings::platform_settings settings;
    settings.request_timeout = 300ms;
    settings.long_poll = 100ms;
    settings.min_backoff = 10ms;
    settings.max_backoff = 100ms;
    return settings;
}

spreading::spreading_settings fast_spreading(const std::string& host) {
    spreading::spreading_settings settings;
    settings.host = host;
    settings.first_pull_jitter = 10ms;
    settings.bootstrap_pull_interval = 20ms;
    settings.isolated_reader_delay = 0ms;
    settings.platform_snapshot_retry = 50ms;
    settings.compactor_settle_time = 0s;
    return settings;
}

/// Duties from the platform log to the active configuration, connected as in a daemon.
class log_path {
public:
    log_path(const std::string& host, const std::shared_ptr<streams::memory_log>& log,
             log_path* peer = nullptr)
        : m_log(log), m_peer(peer),
          m_events(host, std::make_shared<common::hybrid_clock>(), [](const telemetry::timeline_event&) {}),
          m_publisher(streams::memory_log_client{log, host}, fast_platform(), common::random_source(1), 16,
                      m_events),
          m_apply(64,
                  {[this](const codec::snapshot_pointer& state) { return applied(state); },
                   [this] { m_spreading.ring().try_push(apply_failed{}); }},
                  m_events),
          m_reader(
              streams::memory_log_client{log, host}, fast_platform(), common::random_source(2), 16,
              [this](spreading_message message) { m_spreading.ring().try_push(std::move(message)); },
              m_events),
          m_spreading(fast_spreading(host), common::random_source(3), 256, sinks(), m_events) {}

    ~log_path() {
        m_reader.stop();
        m_spreading.stop();
        m_apply.stop();
        m_publisher.stop();
    }

    void set_peers(spreading::peer_view view) { m_spreading.ring().try_push(std::move(view)); }

    publish_result publish(const std::string& id, std::chrono::milliseconds limit = 3s) {
        config::service_policy policy;
        policy.name = "orders";
        return m_publisher.publish({id, "test", 1, {config::put_operation{policy, std::nullopt}}},
                                   common::steady_clock::now() + limit);
    }

    bool reaches(common::revision version, std::chrono::milliseconds limit = 5s) const {
        const auto end = common::steady_clock::now() + limit;
        while (common::steady_clock::now() < end) {
            const auto state = m_newest.load();
            if (m_ready && state && state->version >= version) {
                return true;
            }
            std::this_thread::sleep_for(5ms);
        }
        return false;
    }

    codec::snapshot_pointer state() const { return m_newest.load(); }
    bool ready() const { return m_ready; }

private:
    bool applied(const codec::snapshot_pointer& state) {
        m_newest.store(state);
        // The first notification is refused, as with a full ring.
        return !std::exchange(m_refuse_notification, false) &&
               m_spreading.ring().try_push(state_applied{state}) &&
               m_publisher.ring().try_push(config_changed{state});
    }

    spreading_sinks sinks() {
        return {[](const spreading::push&) {}, [this](const spreading::pull& request) { pull(request); },
                [this](apply_message message) { return m_apply.ring().try_push(std::move(message)); },
                [this](log_reader_message message) { m_reader.ring().push_newest(std::move(message)); },
                [this](bool ready) { m_ready = ready; }};
    }

    void pull(const spreading::pull& request) {
        auto reply =
            m_peer != nullptr
                ? m_peer->m_spreading.handle_pull_request(request.request, common::steady_clock::now() + 1s)
                : std::nullopt;
        if (reply) {
            m_spreading.ring().try_push(pull_replied{request.id, request.peer, std::move(*reply)});
        } else {
            m_spreading.ring().try_push(pull_failed{request.id});
        }
    }

    std::shared_ptr<streams::memory_log> m_log;
    log_path* m_peer;
    telemetry::event_log m_events;
    common::shared_snapshot<config::config_snapshot> m_newest;
    std::atomic<bool> m_ready = false;
    bool m_refuse_notification = true;
    publisher_duty m_publisher;
    apply_duty m_apply;
    log_reader_duty m_reader;
    spreading_duty m_spreading;
};

struct log_path_test : testing::Test {
    std::shared_ptr<streams::memory_log> log = std::make_shared<streams::memory_log>();
    const spreading::peer_view only_reader{{}, {}, {}, true, true};

    std::uint64_t records() const { return log->counters().by_stream["config"].appends; }
};

// Guards against a change that takes effect without a verdict for its operator, or that is appended again
// when it is repeated.
TEST_F(log_path_test, change_takes_effect_and_its_verdict_is_returned) {
    log_path daemon("a", log);
    daemon.set_peers(only_reader);
    const publish_result result = daemon.publish("c1");
    const auto* decided = std::get_if<change_decided>(&result);
    ASSERT_NE(decided, nullptr);
    EXPECT_EQ(decided->at, common::revision{1});
    EXPECT_TRUE(std::holds_alternative<config::accepted>(decided->result));
    EXPECT_TRUE(daemon.reaches(common::revision{1}));
    EXPECT_TRUE(std::holds_alternative<change_decided>(daemon.publish("c1")));
    EXPECT_EQ(records(), 1U) << "a repeated change id is answered without a second append";
}

// Guards against a second append, or a missing verdict, when an append succeeded but its response was lost.
TEST_F(log_path_test, append_with_a_lost_response_is_found_in_the_stream) {
    log_path daemon("a", log);
    daemon.set_peers(only_reader);
    log->set_switches({.lose_answers = 1});
    const publish_result result = daemon.publish("c1");
    ASSERT_TRUE(std::holds_alternative<change_decided>(result));
    EXPECT_EQ(std::get<change_decided>(result).at, common::revision{1});
    EXPECT_EQ(records(), 1U);
}

// Guards against reporting "not appended" when an earlier attempt may have succeeded; the outcome is unknown
// then.
TEST_F(log_path_test, outage_is_distinguished_from_an_unknown_outcome) {
    log_path daemon("a", log);
    daemon.set_peers(only_reader);
    log->set_switches({.outage = true});
    EXPECT_TRUE(std::holds_alternative<change_not_appended>(daemon.publish("c1")));
    EXPECT_EQ(records(), 0U);
    log->set_switches({.slow = 400ms}); // longer than the request timeout
    EXPECT_TRUE(std::holds_alternative<change_unknown>(daemon.publish("c2", 900ms)));
    log->set_switches({});
    const publish_result again = daemon.publish("c2");
    ASSERT_TRUE(std::holds_alternative<change_decided>(again)) << "the same id can be sent again";
}

// Guards against a log reader that does not resume from its position after an outage of the platform.
TEST_F(log_path_test, reader_resumes_after_an_outage) {
    log_path daemon("a", log);
    log_path other("b", log);
    daemon.set_peers(only_reader);
    other.set_peers(only_reader);
    ASSERT_TRUE(std::holds_alternative<change_decided>(other.publish("c1")));
    ASSERT_TRUE(daemon.reaches(common::revision{1}));
    log->set_switches({.outage = true});
    std::this_thread::sleep_for(300ms);
    EXPECT_TRUE(daemon.ready()) << "an outage of the platform does not stop a daemon that was ready";
    log->set_switches({});
    ASSERT_TRUE(std::holds_alternative<change_decided>(other.publish("c2")));
    EXPECT_TRUE(daemon.reaches(common::revision{2}));
}

// Guards against a daemon that cannot start from an empty state once the first records of the log have
// expired: it has to load the snapshot and then read the remaining records.
TEST_F(log_path_test, restart_after_expiry_uses_the_snapshot_stream) {
    {
        log_path first("a", log);
        first.set_peers(only_reader);
        first.publish("c1");
        const auto end = common::steady_clock::now() + 5s;
        while (log->counters().by_stream["snapshots"].appends == 0 && common::steady_clock::now() < end) {
            std::this_thread::sleep_for(5ms);
        }
        first.publish("c2");
    }
    log->expire_before("config", common::revision{2});
    log_path second("a", log);
    second.set_peers(only_reader);
    ASSERT_TRUE(second.reaches(common::revision{2}));
    EXPECT_NE(second.state()->outcome_of("c1"), nullptr);
}

// Guards against a daemon that becomes ready without a current configuration: while the platform is down,
// only a ready peer can provide one.
TEST_F(log_path_test, ready_peer_provides_the_configuration_during_an_outage) {
    log_path reader("a", log);
    log_path follower("b", log, &reader);
    follower.set_peers({{"a"}, {}, {"a"}, false, false});
    std::this_thread::sleep_for(200ms);
    EXPECT_FALSE(follower.ready());
    reader.set_peers(only_reader);
    ASSERT_TRUE(std::holds_alternative<change_decided>(reader.publish("c1")));
    log->set_switches({.outage = true});
    EXPECT_TRUE(follower.reaches(common::revision{1}));
    EXPECT_EQ(follower.state()->digest, reader.state()->digest);
}

} // namespace
} // namespace boragehollow::daemon
