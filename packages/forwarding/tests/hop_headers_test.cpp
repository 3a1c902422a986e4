#include "boragehollow/forwarding/hop_headers.hpp"

#include <gtest/gtest.h>

namespace boragehollow::forwarding {
namespace {

using namespace std::chrono_literals;

// Guards against a fact of a call that is lost between two daemons, and against headers that reach the
// target.
TEST(HopHeaders, CarryACallAndLeaveNothingBehind) {
    hop_call call{"desk", "h1",  "drawings", "id-1", config::work_class::long_work, true, 3, 1500us,
                  700us,  false, {7},        60'000};
    request_message request{http::verb::get, "/x", 11};
    request.set("X-Other", "kept");
    write_hop_call(call, request);
    const auto read = take_hop_call(request);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->service, "desk");
    EXPECT_EQ(read->caller_host, "h1");
    EXPECT_EQ(read->caller_service, "drawings");
    EXPECT_EQ(read->request_id, "id-1");
    EXPECT_EQ(read->work, config::work_class::long_work);
    EXPECT_TRUE(read->idempotent);
    EXPECT_EQ(read->priority, 3U);
    EXPECT_EQ(read->time_left, 1500us);
    EXPECT_EQ(read->soft_deadline_left, 700us);
    EXPECT_FALSE(read->accepts_late);
    EXPECT_EQ(read->config_version.value, 7U);
    EXPECT_EQ(read->transfer_bytes, 60'000U);
    EXPECT_EQ(std::distance(request.begin(), request.end()), 1);
}

// Guards against a request that is taken for a call although a part of it is missing or malformed.
TEST(HopHeaders, RefuseACallWithAMissingPart) {
    for (const char* name : {"bh-service", "bh-work", "bh-time-left-us", "bh-config-version"}) {
        request_message request{http::verb::get, "/x", 11};
        hop_call call;
        call.service = "desk";
        write_hop_call(call, request);
        request.erase(name);
        EXPECT_FALSE(take_hop_call(request).has_value()) << name;
    }
    request_message request{http::verb::get, "/x", 11};
    hop_call call;
    call.service = "desk";
    write_hop_call(call, request);
    request.set("bh-time-left-us", "12x");
    EXPECT_FALSE(take_hop_call(request).has_value());
}

// Guards against a refusal that arrives as an answer, or without its advice and load.
TEST(HopHeaders, CarryAReport) {
    hop_report report;
    report.outcome = hop_outcome::refused;
    report.reason = "draining";
    report.retry_after = 40ms;
    report.load = balancing::piggybacked_load{1, 2, 3};
    report.config_version = {9};
    response_message response{http::status::service_unavailable, 11};
    write_hop_report(report, response);
    const auto read = take_hop_report(response);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->outcome, hop_outcome::refused);
    EXPECT_EQ(read->reason, "draining");
    EXPECT_EQ(read->retry_after, 40ms);
    ASSERT_TRUE(read->load.has_value());
    EXPECT_EQ(read->load->queued, 1U);
    EXPECT_EQ(read->load->in_use, 2U);
    EXPECT_EQ(read->load->slots, 3U);
    EXPECT_EQ(read->config_version.value, 9U);
    response_message plain{http::status::ok, 11};
    EXPECT_FALSE(take_hop_report(plain).has_value());
}

// Guards against headers of one connection that are passed to another.
TEST(HopHeaders, RemoveWhatConcernsOneConnection) {
    request_message request{http::verb::get, "/x", 11};
    request.set(http::field::connection, "keep-alive, X-Hop");
    request.set("X-Hop", "1");
    request.set(http::field::keep_alive, "timeout=5");
    request.set(http::field::te, "trailers");
    request.set("X-Other", "kept");
    remove_connection_headers(request);
    EXPECT_EQ(std::distance(request.begin(), request.end()), 1);
}

} // namespace
} // namespace boragehollow::forwarding
