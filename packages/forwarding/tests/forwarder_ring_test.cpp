#include "daemon_under_test.hpp"

#include <gtest/gtest.h>

#include <latch>
#include <thread>

namespace boragehollow::forwarding {
namespace {

using namespace std::chrono_literals;
using namespace testing_support;

// Guards against a version that a daemon reports as applied while its callers still get the old one: the
// forwarder was busy, its ring was full, and the configuration was dropped.
TEST(forwarder_ring, configuration_is_delivered_when_the_ring_is_full) {
    std::latch busy{1};
    std::latch resume{1};
    telemetry::event_log events("h1", std::make_shared<common::hybrid_clock>(),
                                [](const telemetry::timeline_event&) {});
    telemetry::metric_registry metrics;
    forwarder_settings settings;
    settings.callers = {"127.0.0.1", 0};
    settings.peers = {"127.0.0.1", 0};
    settings.router.names = test_names();
    settings.ring_size = 2;
    forwarder_sinks sinks;
    sinks.control_request = [&](const std::string&, const std::string&, const auto& done) {
        busy.count_down();
        resume.wait();
        done(std::nullopt);
    };
    const auto tested = forwarder::start(settings, std::move(sinks), events, metrics).value();
    raw_client peer(tested->peer_endpoint());
    peer.write("POST /boragehollow.control/any HTTP/1.1\r\nHost: h1\r\nContent-Length: 0\r\n\r\n");
    busy.wait();
    while (tested->post(quota_members{})) {
    }
    const std::jthread later([&resume] {
        std::this_thread::sleep_for(100ms);
        resume.count_down();
    });
    tested->deliver(
        configuration_changed{std::make_shared<const routing::route_table>(routing::route_table::build(
                                  std::make_shared<const config::config_snapshot>())),
                              {},
                              std::make_shared<const accounts::account_index>(nullptr, common::revision{1})});
    EXPECT_TRUE(eventually([&tested] { return tested->has_configuration(); }));
}

} // namespace
} // namespace boragehollow::forwarding
