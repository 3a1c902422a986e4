#include "boragehollow/config/config_state.hpp"

#include <gtest/gtest.h>

namespace boragehollow::config {
namespace {

put_operation put_service(std::string name, std::optional<revision> expected = {}) {
    return {service_policy{.name = std::move(name)}, expected};
}

put_operation put_route(std::string name, std::string service) {
    return {route{.name = std::move(name), .service = std::move(service)}, {}};
}

delete_operation delete_service(std::string name, std::optional<revision> expected = {}) {
    return {{resource_kind::service_policy, std::move(name)}, expected};
}

class config_state_test : public testing::Test {
protected:
    /// Applies a change as the next record. Returns the reason of a rejection, or nothing when it was
    /// accepted.
    std::optional<rejection_reason> apply(std::vector<operation> operations, std::string id = {}) {
        const revision at = m_state.snapshot()->version.next();
        if (id.empty()) {
            id = "c" + std::to_string(at.value);
        }
        const auto result = m_state.apply(at, {std::move(id), "ana", m_schema, std::move(operations)});
        EXPECT_TRUE(result);
        const auto* reason = std::get_if<rejected>(&*result);
        return reason == nullptr ? std::nullopt : std::optional(reason->reason);
    }

    config_state m_state;
    std::uint32_t m_schema = 1;
};

// Guards the guarantee that a change is applied as a whole or not at all: the operations before the invalid
// one must have no effect.
TEST_F(config_state_test, a_rejected_change_has_no_effect_on_the_resources) {
    EXPECT_EQ(apply({put_service("a"), put_route("r", "missing")}), rejection_reason::dangling_reference);
    EXPECT_TRUE(m_state.snapshot()->resources.empty());
    EXPECT_EQ(m_state.snapshot()->version, revision{1});
    EXPECT_NE(m_state.snapshot()->outcome_of("c1"), nullptr);
}

// Guards against references that are checked before all operations of the change are applied.
TEST_F(config_state_test, references_may_point_to_resources_of_the_same_change) {
    EXPECT_EQ(apply({put_route("r", "a"), put_service("a")}), std::nullopt);
    EXPECT_EQ(apply({delete_service("a")}), rejection_reason::dangling_reference);
    EXPECT_EQ(apply({delete_service("a"), delete_operation{{resource_kind::route, "r"}, {}}}), std::nullopt);
    EXPECT_TRUE(m_state.snapshot()->resources.empty());
}

// Guards against a lost update when two operators change one resource at the same time.
TEST_F(config_state_test, the_first_of_two_concurrent_changes_wins) {
    EXPECT_EQ(apply({put_service("a", revision{0})}), std::nullopt);
    EXPECT_EQ(apply({put_service("a", revision{0})}), rejection_reason::revision_conflict);
    EXPECT_EQ(apply({put_service("a", revision{1})}), std::nullopt);
    EXPECT_EQ(apply({put_service("a", revision{1})}), rejection_reason::revision_conflict);
    EXPECT_EQ(apply({delete_service("a", revision{1})}), rejection_reason::revision_conflict);
    EXPECT_EQ(apply({delete_service("a", revision{3})}), std::nullopt);
    EXPECT_EQ(apply({delete_service("a")}), rejection_reason::not_found);
}

// Guards against a retried append that takes effect again after a later change.
TEST_F(config_state_test, a_repeated_change_id_has_no_effect) {
    EXPECT_EQ(apply({put_service("a")}, "once"), std::nullopt);
    EXPECT_EQ(apply({delete_service("a")}), std::nullopt);
    EXPECT_EQ(apply({put_service("a")}, "once"), rejection_reason::duplicate);
    EXPECT_TRUE(m_state.snapshot()->resources.empty());
    EXPECT_EQ(m_state.snapshot()->outcome_of("once")->at, revision{1});
}

// Guards against unbounded memory for the outcomes of changes.
TEST_F(config_state_test, removes_the_oldest_outcomes_above_the_limit) {
    for (std::size_t i = 0; i <= max_outcomes; ++i) {
        apply({put_service("a")});
    }
    EXPECT_EQ(m_state.snapshot()->outcomes().size(), max_outcomes);
    EXPECT_EQ(m_state.snapshot()->outcome_of("c1"), nullptr);
    EXPECT_NE(m_state.snapshot()->outcome_of("c2"), nullptr);
}

// Guards the guarantee that a daemon never goes back to an older version, against late and repeated records.
TEST_F(config_state_test, never_applies_an_older_record) {
    apply({put_service("a")});
    const auto before = m_state.snapshot();
    const auto again = m_state.apply(revision{1}, {"x", "ana", 1, {delete_service("a")}});
    ASSERT_FALSE(again);
    EXPECT_EQ(again.error(), apply_error(not_newer{revision{1}, revision{1}}));
    EXPECT_EQ(m_state.snapshot(), before);
    config_state empty;
    EXPECT_FALSE(m_state.restore(empty.snapshot()));
    EXPECT_EQ(m_state.snapshot(), before);
}

// Guards against different verdicts of a daemon that restored a snapshot and one that applied all records.
TEST_F(config_state_test, a_restored_state_decides_like_its_source) {
    apply({put_service("a")});
    apply({put_route("r", "missing")});
    config_state other;
    ASSERT_TRUE(other.restore(m_state.snapshot()));
    const change next{"c2", "eva", 1, {put_service("b")}};
    EXPECT_EQ(other.apply(revision{3}, next), m_state.apply(revision{3}, next));
    EXPECT_EQ(other.snapshot()->digest, m_state.snapshot()->digest);
}

// Guards against two daemons with the same version and digest but different verdicts.
TEST_F(config_state_test, the_digest_covers_rejected_records) {
    config_state first;
    config_state second;
    ASSERT_TRUE(first.reject_undecodable(revision{1}, "truncated at byte 7"));
    ASSERT_TRUE(second.reject_undecodable(revision{1}, "other wording"));
    EXPECT_EQ(first.snapshot()->digest, second.snapshot()->digest);
    ASSERT_TRUE(first.reject_undecodable(revision{2}, ""));
    ASSERT_TRUE(second.reject_oversized(revision{2}, ""));
    EXPECT_NE(first.snapshot()->digest, second.snapshot()->digest);
    EXPECT_EQ(first.restore(second.snapshot()).error(), apply_error(digest_mismatch{revision{2}}));
}

// Guards against a daemon of an older build that applies records of a schema which it does not know.
TEST_F(config_state_test, stops_at_an_unknown_schema) {
    config_state newer(2);
    EXPECT_EQ(apply({activate_schema_operation{3}}), rejection_reason::invalid_field);
    EXPECT_FALSE(m_state.stopped());
    EXPECT_EQ(apply({activate_schema_operation{2}}), std::nullopt);
    EXPECT_EQ(m_state.stopped(), (unknown_schema{2, 1}));
    EXPECT_FALSE(m_state.apply(revision{3}, {"x", "ana", 2, {put_service("a")}}));
    EXPECT_EQ(m_state.snapshot()->version, revision{2});

    ASSERT_TRUE(newer.restore(m_state.snapshot()));
    const auto old_schema = newer.apply(revision{3}, {"y", "ana", 1, {put_service("a")}});
    EXPECT_EQ(std::get<rejected>(*old_schema).reason, rejection_reason::schema_mismatch);
    const auto repeated = newer.apply(revision{4}, {"c2", "ana", 1, {activate_schema_operation{2}}});
    EXPECT_EQ(std::get<rejected>(*repeated).reason, rejection_reason::duplicate);

    config_state older;
    EXPECT_FALSE(older.restore(newer.snapshot()));
    EXPECT_EQ(older.stopped(), (unknown_schema{2, 1}));
}

// Guards against unbounded memory for resources.
TEST_F(config_state_test, limits_the_number_of_resources) {
    std::size_t count = 0;
    while (count < max_resources) {
        std::vector<operation> batch;
        for (std::size_t i = 0; i < max_operations; ++i) {
            batch.emplace_back(put_service("s" + std::to_string(count++)));
        }
        ASSERT_EQ(apply(std::move(batch)), std::nullopt);
    }
    EXPECT_EQ(apply({put_service("more")}), rejection_reason::limit_exceeded);
    EXPECT_EQ(apply({delete_service("s0"), put_service("more")}), std::nullopt);
}

// Guards against a malicious record with a large outcome: outcomes are stored for thousands of changes.
TEST_F(config_state_test, limits_the_size_of_outcomes) {
    EXPECT_EQ(apply({put_service(std::string(100'000, 'x'))}), rejection_reason::invalid_field);
    const auto& kept = std::get<rejected>(m_state.snapshot()->outcome_of("c1")->result);
    EXPECT_FALSE(kept.resource);
    EXPECT_LE(kept.detail.size(), max_detail_length);
}

} // namespace
} // namespace boragehollow::config
