#include "boragehollow/cli/change_submission.hpp"

#include <gtest/gtest.h>

namespace boragehollow::cli {
namespace {

using std::chrono::seconds;

tl::expected<http_response, transport_error> answer(int status, std::string body) {
    return http_response{status, std::move(body)};
}

const tl::expected<http_response, transport_error> refused =
    tl::unexpected<transport_error>(not_connected{"refused"});
const tl::expected<http_response, transport_error> lost = tl::unexpected<transport_error>(no_answer{"reset"});

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
        const auto* end = std::get_if<submission_end>(&step);
        EXPECT_NE(end, nullptr);
        return end == nullptr ? exit_code::failed : end->code;
    }

    common::steady_time m_start{};
    change_submission m_submission{"c1", m_start + seconds(10)};
};

TEST_F(change_submission_test, maps_verdicts_to_exit_codes) {
    EXPECT_EQ(code_of(at(seconds(0), answer(200, accepted_body))), exit_code::done);
    EXPECT_EQ(code_of(at(seconds(0), answer(409, conflict_body))), exit_code::rejected);
    EXPECT_EQ(code_of(at(seconds(0), answer(400, R"({"outcome":"not_run"})"))), exit_code::failed);
    EXPECT_EQ(code_of(at(seconds(0), answer(404, "<html>"))), exit_code::failed);
}

// Guards G5 for operators: after one attempt that may have run, a refused connection proves nothing.
TEST_F(change_submission_test, a_lost_answer_makes_the_outcome_unknown) {
    EXPECT_TRUE(std::holds_alternative<resend>(at(seconds(0), refused)));
    EXPECT_TRUE(std::holds_alternative<resend>(at(seconds(1), lost)));
    EXPECT_EQ(code_of(at(seconds(10), refused)), exit_code::outcome_unknown);
}

TEST_F(change_submission_test, is_not_reachable_when_no_attempt_can_have_run) {
    EXPECT_TRUE(std::holds_alternative<resend>(at(seconds(0), refused)));
    EXPECT_TRUE(std::holds_alternative<resend>(at(seconds(1), answer(503, R"({"outcome":"not_run"})"))));
    EXPECT_EQ(code_of(at(seconds(10), refused)), exit_code::not_reachable);
}

TEST_F(change_submission_test, a_server_error_without_an_outcome_may_have_run) {
    EXPECT_TRUE(std::holds_alternative<resend>(at(seconds(0), answer(500, ""))));
    EXPECT_EQ(code_of(at(seconds(10), answer(503, R"({"outcome":"not_run"})"))), exit_code::outcome_unknown);
}

// Guards against reporting "duplicate" to an operator whose first attempt was accepted.
TEST_F(change_submission_test, a_duplicate_is_resolved_to_the_first_verdict) {
    EXPECT_TRUE(std::holds_alternative<resend>(at(seconds(0), lost)));
    EXPECT_TRUE(std::holds_alternative<look_up>(at(seconds(1), answer(409, duplicate_body))));
    EXPECT_TRUE(std::holds_alternative<look_up>(at(seconds(1), refused)));
    EXPECT_EQ(code_of(at(seconds(2), answer(200, accepted_body))), exit_code::done);
}

// Guards G4: an answer that belongs to another change must not be taken for this one.
TEST_F(change_submission_test, ignores_the_outcome_of_another_change) {
    const auto other = R"({"change_id":"c2","author":"ana","revision":5,"verdict":"accepted"})";
    EXPECT_TRUE(std::holds_alternative<resend>(at(seconds(0), answer(200, other))));
    EXPECT_EQ(code_of(at(seconds(10), refused)), exit_code::outcome_unknown);
}

} // namespace
} // namespace boragehollow::cli
