#include "boragehollow/balancing/answer_terms.hpp"

#include <gtest/gtest.h>

namespace boragehollow::balancing {
namespace {

// Guards against a call that is refused although a late answer was never asked for: a service with two
// targets that both refuse a timely one, as in incident inc-604c of inkwi-mesh.
TEST(answer_terms, a_late_answer_is_asked_for_when_all_of_two_targets_refused) {
    answer_terms terms;
    terms.refused();
    terms.refused();
    ASSERT_TRUE(terms.relax());
    EXPECT_TRUE(terms.accepts_late());
}

TEST(answer_terms, the_only_target_is_asked_again_for_a_late_answer) {
    answer_terms terms;
    terms.refused();
    EXPECT_FALSE(terms.accepts_late());
    ASSERT_TRUE(terms.relax());
    EXPECT_TRUE(terms.accepts_late());
}

// Guards against a search without end in a service that is full.
TEST(answer_terms, targets_that_refused_a_late_answer_are_not_asked_again) {
    answer_terms terms;
    terms.refused();
    ASSERT_TRUE(terms.relax());
    terms.refused();
    EXPECT_FALSE(terms.relax());
    answer_terms wide;
    wide.refused();
    wide.refused();
    wide.refused();
    EXPECT_FALSE(wide.relax());
}

} // namespace
} // namespace boragehollow::balancing
