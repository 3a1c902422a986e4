#include "boragehollow/cli/change_submission.hpp"

#include <gtest/gtest.h>

namespace boragehollow::cli {
namespace {

using std::chrono::seconds;

tl::expected<http_response, transport_error> response(int status, std::string body) {
    return http_response{status, std::move(body)};
}

const tl::expected<http_response, transport_error> refused =
    tl::unexpected<transport_error>(not_connected{"refused"});
const tl::expected<http_response, transport_error> lost =
    tl::unexpected<transport_error>(response_lost{"reset"});

const auto accepted_body = R"({"change_id":"c1","author":"ana","revision":5,"verdict":"accepted"})";
const auto conflict_body =
    R"({"change_id":"c1","author":"ana","revision":5,"verdict":"rejected","reason":"revision_conflict"})";
const auto duplicate_body =
    R"({"change_id":"c1","author":"ana","revision":6,"verdict":"rejected","reason":"duplicate"})";

class change_submission_test : public testing::Test {
protected:
    submission_step at(seconds now, const tl::expected<http_response, transport_error>& attempt) {
        return m_submission.next(attempt, m_start + now);
    }

    static exit_code code_of(const submission_step& step) {
        const auto* end = std::get_if<submission_result>(&step);
        EXPECT_NE(end, nullptr);
        return end == nullptr ? exit_code::failed : end->code;
    }

    common::steady_time m_start{};
    change_submission m_submission{"c1", m_start + seconds(10)};
};

TEST_F(change_submission_test, maps_outcomes_to_exit_codes) {
    EXPECT_EQ(code_of(at(seconds(0), response(200, accepted_body))), exit_code::done);
    EXPECT_EQ(code_of(at(seconds(0), response(409, conflict_body))), exit_code::rejected);
    EXPECT_EQ(code_of(at(seconds(0), response(400, R"({"outcome":"not_run"})"))), exit_code::failed);
    EXPECT_EQ(code_of(at(seconds(0), response(404, "<html>"))), exit_code::failed);
}

// Guards against reporting a change as not applied when it may have been: after one attempt with a lost
// response, a refused connection does not show that the change was not applied.
TEST_F(change_submission_test, a_lost_response_makes_the_outcome_unknown) {
    EXPECT_TRUE(std::holds_alternative<send_change>(at(seconds(0), refused)));
    EXPECT_TRUE(std::holds_alternative<send_change>(at(seconds(1), lost)));
    EXPECT_EQ(code_of(at(seconds(10), refused)), exit_code::outcome_unknown);
}

TEST_F(change_submission_test, reports_not_reachable_when_no_attempt_can_have_run) {
    EXPECT_TRUE(std::holds_alternative<send_change>(at(seconds(0), refused)));
    EXPECT_TRUE(
        std::holds_alternative<send_change>(at(seconds(1), response(503, R"({"outcome":"not_run"})"))));
    EXPECT_EQ(code_of(at(seconds(10), refused)), exit_code::not_reachable);
}

TEST_F(change_submission_test, a_server_error_without_an_outcome_may_have_run) {
    EXPECT_TRUE(std::holds_alternative<send_change>(at(seconds(0), response(500, ""))));
    EXPECT_EQ(code_of(at(seconds(10), response(503, R"({"outcome":"not_run"})"))),
              exit_code::outcome_unknown);
}

// Guards against reporting "duplicate" to an operator whose first attempt was accepted.
TEST_F(change_submission_test, a_duplicate_is_resolved_to_the_first_outcome) {
    EXPECT_TRUE(std::holds_alternative<send_change>(at(seconds(0), lost)));
    EXPECT_TRUE(std::holds_alternative<query_outcome>(at(seconds(1), response(409, duplicate_body))));
    EXPECT_TRUE(std::holds_alternative<query_outcome>(at(seconds(1), refused)));
    EXPECT_EQ(code_of(at(seconds(2), response(200, accepted_body))), exit_code::done);
}

// Guards against reporting the outcome of another change as the outcome of this one.
TEST_F(change_submission_test, ignores_the_outcome_of_another_change) {
    const auto other = R"({"change_id":"c2","author":"ana","revision":5,"verdict":"accepted"})";
    EXPECT_TRUE(std::holds_alternative<send_change>(at(seconds(0), response(200, other))));
    EXPECT_EQ(code_of(at(seconds(10), refused)), exit_code::outcome_unknown);
}

} // namespace
} // namespace boragehollow::cli
