#include "boragehollow/scenario/checker.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace boragehollow::scenario {
namespace {

using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;

const common::wall_time start{1h};

call_result answered(const std::string& id, const std::string& method) {
    call_result result;
    result.id = id;
    result.returned_id = id;
    result.method = method;
    result.outcome = call_outcome::answered;
    result.status = 200;
    return result;
}

daemon_sample sample(const std::string& daemon, std::uint64_t version, const std::string& digest,
                     bool ready = true) {
    daemon_sample result;
    result.daemon = daemon;
    result.version = version;
    result.digest = digest;
    result.ready = ready;
    return result;
}

std::vector<std::string> guarantees(const observations& observed) {
    std::vector<std::string> names;
    for (const violation& each : check_guarantees(observed)) {
        names.push_back(each.guarantee);
    }
    return names;
}

TEST(checker, accepts_a_run_that_meets_all_guarantees) {
    observations observed;
    observed.results = {answered("1", "POST"), answered("2", "GET")};
    call_result unknown = answered("3", "POST");
    unknown.outcome = call_outcome::unknown;
    observed.results.push_back(unknown);
    observed.ledgers = {{"t1", {{"1", "POST", start}, {"2", "GET", start}}},
                        {"t2", {{"2", "GET", start}, {"3", "POST", start}}}};
    observed.samples = {sample("a", 1, "x"), sample("b", 1, "x"), sample("a", 2, "y")};
    EXPECT_THAT(guarantees(observed), IsEmpty());
}

TEST(checker, finds_a_call_that_ran_although_it_was_answered_not_run) {
    observations observed;
    call_result refused = answered("1", "POST");
    refused.outcome = call_outcome::not_run;
    observed.results = {refused};
    observed.ledgers = {{"t1", {{"1", "POST", start}}}};
    EXPECT_THAT(guarantees(observed), ElementsAre("G5"));
}

TEST(checker, finds_a_non_idempotent_call_that_ran_twice) {
    observations observed;
    observed.ledgers = {{"t1", {{"1", "POST", start}}}, {"t2", {{"1", "POST", start}}}};
    EXPECT_THAT(guarantees(observed), ElementsAre("G6"));
    EXPECT_THAT(repeated_ids(observed.ledgers), ElementsAre("1"));
}

TEST(checker, finds_two_runs_under_one_idempotency_key) {
    observations observed;
    observed.results = {answered("1", "POST"), answered("2", "POST")};
    observed.results[0].idempotency_key = "k";
    observed.results[1].idempotency_key = "k";
    observed.ledgers = {{"t1", {{"1", "POST", start}, {"2", "POST", start}}}};
    EXPECT_THAT(guarantees(observed), ElementsAre("G6"));
}

TEST(checker, finds_responses_that_belong_to_another_call_or_to_none) {
    observations observed;
    observed.results = {answered("1", "GET"), answered("2", "GET"), answered("3", "GET")};
    observed.results[0].returned_id = "2";
    observed.results[1].body_matches = false;
    observed.ledgers = {{"t1", {{"1", "GET", start}, {"2", "GET", start}}}};
    EXPECT_THAT(guarantees(observed), ElementsAre("G4", "G4", "G4"));
    observed.ledgers[0].complete = false;
    EXPECT_THAT(guarantees(observed), ElementsAre("G4", "G4"))
        << "no ledger entry is expected when a ledger is incomplete";
}

// Guards against a checker that reports a restarted daemon, which is not ready and still loading, as a
// version decrease, and against one that misses a decrease between two samples of a ready daemon.
TEST(checker, finds_versions_that_decrease_and_configurations_that_differ) {
    observations observed;
    observed.samples = {sample("a", 5, "x"), sample("a", 0, "", false), sample("a", 5, "x")};
    EXPECT_THAT(guarantees(observed), IsEmpty());
    observed.samples.push_back(sample("a", 4, "w"));
    EXPECT_THAT(guarantees(observed), ElementsAre("G1"));
    observed.samples.push_back(sample("b", 5, "other"));
    EXPECT_THAT(guarantees(observed), ElementsAre("G1", "G3"));
}

TEST(checker, finds_requests_that_a_departing_target_received_late) {
    observations observed;
    observed.departures = {{"t1", start, start + 10s}};
    observed.ledgers = {{"t1", {{"1", "GET", start + 3s}, {"2", "GET", start + 11s}}}};
    EXPECT_THAT(guarantees(observed), IsEmpty());
    observed.ledgers[0].entries.push_back({"3", "GET", start + 4s});
    const auto found = check_guarantees(observed);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_THAT(found[0].detail, HasSubstr("4000 ms after its departure began"));
}

} // namespace
} // namespace boragehollow::scenario
