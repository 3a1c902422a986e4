#include "boragehollow/common/random_source.hpp"
#include "boragehollow/config/config_snapshot.hpp"

#include <gtest/gtest.h>

#include <map>

namespace boragehollow::config {
namespace {

// Guards against an update that corrupts the order or changes an older version of the map.
TEST(persistent_map, agrees_with_std_map_and_keeps_older_versions) {
    common::random_source random(11);
    std::map<std::string, revision> model;
    std::map<std::string, revision> model_before;
    outcome_index subject;
    outcome_index subject_before;
    for (std::uint64_t i = 0; i < 4'000; ++i) {
        if (i == 2'000) {
            subject_before = subject;
            model_before = model;
        }
        const std::string key = std::to_string(random.index(500));
        if (random.index(3) == 0) {
            model.erase(key);
            subject = subject.erase(key);
            continue;
        }
        model.insert_or_assign(key, revision{i});
        subject = subject.insert(key, revision{i});
    }
    const auto content = [](const outcome_index& map) {
        return std::map<std::string, revision>(map.begin(), map.end());
    };
    EXPECT_EQ(content(subject), model);
    EXPECT_EQ(subject.size(), model.size());
    EXPECT_TRUE(std::equal(subject.begin(), subject.end(), model.begin(), model.end()));
    EXPECT_EQ(content(subject_before), model_before);
}

} // namespace
} // namespace boragehollow::config
