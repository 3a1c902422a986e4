#include "boragehollow/common/random_source.hpp"
#include "boragehollow/common/rendezvous.hpp"

#include <gtest/gtest.h>

namespace boragehollow::common {
namespace {

TEST(rendezvous, removing_a_candidate_moves_only_its_own_keys) {
    const std::vector<std::string> all{"a", "b", "c", "d"};
    const std::vector<std::string> without_c{"a", "b", "d"};
    for (int i = 0; i < 200; ++i) {
        const std::string key = std::to_string(i);
        const std::string before = rendezvous_choices(key, all, 1).front();
        const std::string after = rendezvous_choices(key, without_c, 1).front();
        if (before == "c") {
            continue;
        }
        EXPECT_EQ(before, after);
    }
}

TEST(rendezvous, returns_all_candidates_when_there_are_fewer_than_requested) {
    EXPECT_EQ(rendezvous_choices("k", {"a"}, 3).size(), 1U);
    EXPECT_TRUE(rendezvous_choices("k", {}, 3).empty());
}

TEST(random_source, same_seed_gives_the_same_sequence) {
    random_source first(7);
    random_source second(7);
    EXPECT_EQ(first.identifier(), second.identifier());
    EXPECT_EQ(first.index(100), second.index(100));
}

} // namespace
} // namespace boragehollow::common
