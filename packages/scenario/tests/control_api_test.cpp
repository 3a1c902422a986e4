#include "../src/control_api.hpp"

#include "boragehollow/web/http_server.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace boragehollow::scenario {
namespace {

using namespace std::chrono_literals;
using testing::HasSubstr;

/// One server for all tests, since CivetWeb takes about two seconds to stop. It sends the response that was
/// set last to every request.
class control_api_test : public testing::Test {
protected:
    static void SetUpTestSuite() {
        web::server_options options;
        options.listen = {"127.0.0.1", 0};
        options.worker_threads = 2;
        auto started = web::http_server::start(options, [](web::server_exchange& exchange) {
            const std::lock_guard lock(mutex);
            exchange.respond(response_status, {}, response_body);
        });
        ASSERT_TRUE(started) << started.error().detail;
        server = std::move(*started);
    }

    static void TearDownTestSuite() { server.reset(); }

    static common::endpoint serve(int status, std::string body) {
        const std::lock_guard lock(mutex);
        response_status = status;
        response_body = std::move(body);
        return server->local_endpoint();
    }

private:
    static inline std::unique_ptr<web::http_server> server;
    static inline std::mutex mutex;
    static inline int response_status = 200;
    static inline std::string response_body;
};

// Guards against a use after free: the event fields were iterated through a temporary JSON value that had
// already been destroyed.
TEST_F(control_api_test, reads_events_with_and_without_fields) {
    const auto daemon = serve(200, R"({"dropped": 0, "events": [
        {"wall_us": 5, "counter": 2, "host": "a", "event": "BH1301", "fields": {"version": 7, "by": "x"}},
        {"wall_us": 6, "counter": 0, "host": "a", "event": "BH1007"}]})");
    const auto events = control_api::read_timeline(daemon);
    ASSERT_TRUE(events) << events.error();
    ASSERT_EQ(events->size(), 2U);
    EXPECT_EQ((*events)[0].fields.at("version"), "7");
    EXPECT_EQ((*events)[0].number, 1301);
    EXPECT_EQ((*events)[0].at.counter, 2U);
    EXPECT_TRUE((*events)[1].fields.empty());
}

TEST_F(control_api_test, reports_responses_that_lack_a_field) {
    const auto sample = control_api::read_status("a", serve(200, R"({"ready": true, "version": 3})"), 1s);
    ASSERT_FALSE(sample);
    EXPECT_THAT(sample.error(), HasSubstr("digest"));
    EXPECT_FALSE(control_api::read_ledger(serve(200, "no JSON")));
    EXPECT_FALSE(control_api::healthy(serve(503, ""), 1s));
}

// Guards against a change that is reported as rejected although it may still take effect: only a verdict or a
// status 4xx makes the outcome known.
TEST_F(control_api_test, distinguishes_rejected_changes_from_unknown_outcomes) {
    const auto post = [&](int status, const std::string& body) {
        const auto outcome = control_api::post_change(serve(status, body), "{}");
        EXPECT_TRUE(outcome) << outcome.error();
        return outcome.value_or(control_api::change_response{});
    };
    const auto accepted = post(200, R"({"verdict": "accepted", "revision": 9})");
    EXPECT_TRUE(accepted.accepted);
    EXPECT_EQ(accepted.version, 9U);
    const auto rejected = post(422, R"({"verdict": "rejected", "reason": "duplicate", "revision": 9})");
    EXPECT_TRUE(rejected.outcome_known);
    EXPECT_FALSE(rejected.accepted);
    EXPECT_TRUE(rejected.duplicate);
    EXPECT_TRUE(post(400, R"({"detail": "bad field"})").outcome_known);
    EXPECT_FALSE(post(503, R"({"outcome": "unknown"})").outcome_known);
}

TEST(change_from_document, puts_each_resource) {
    const auto change =
        control_api::change_from_document(R"({"resources": [{"name": "a"}, {"name": "b"}]})", "id");
    ASSERT_TRUE(change) << change.error();
    EXPECT_THAT(*change, HasSubstr(R"("operations":[{"put":{"name":"a"}},{"put":{"name":"b"}}])"));
    EXPECT_THAT(*change, HasSubstr(R"("change_id":"id")"));
    EXPECT_THAT(*control_api::change_from_document(R"({"name": "a"})", "id"),
                HasSubstr(R"([{"put":{"name":"a"}}])"));
    EXPECT_FALSE(control_api::change_from_document("{", "id"));
}

} // namespace
} // namespace boragehollow::scenario
