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
    /// "accepted", or the number of the reason.
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

// Guards G3: operations before the faulty one must leave no trace.
TEST_F(config_state_test, a_rejected_change_leaves_nothing_behind) {
    EXPECT_EQ(apply({put_service("a"), put_route("r", "missing")}), rejection_reason::dangling_reference);
    EXPECT_TRUE(m_state.snapshot()->resources.empty());
    EXPECT_EQ(m_state.snapshot()->version, revision{1});
    EXPECT_NE(m_state.snapshot()->outcome_of("c1"), nullptr);
}

TEST_F(config_state_test, references_may_point_within_the_change) {
    EXPECT_EQ(apply({put_route("r", "a"), put_service("a")}), std::nullopt);
    EXPECT_EQ(apply({delete_service("a")}), rejection_reason::dangling_reference);
    EXPECT_EQ(apply({delete_service("a"), delete_operation{{resource_kind::route, "r"}, {}}}), std::nullopt);
    EXPECT_TRUE(m_state.snapshot()->resources.empty());
}

// Guards against a lost update when two operators race on one resource.
TEST_F(config_state_test, the_first_of_two_racing_operators_wins) {
    EXPECT_EQ(apply({put_service("a", revision{0})}), std::nullopt);
    EXPECT_EQ(apply({put_service("a", revision{0})}), rejection_reason::revision_conflict);
    EXPECT_EQ(apply({put_service("a", revision{1})}), std::nullopt);
    EXPECT_EQ(apply({put_service("a", revision{1})}), rejection_reason::revision_conflict);
    EXPECT_EQ(apply({delete_service("a", revision{1})}), rejection_reason::revision_conflict);
    EXPECT_EQ(apply({delete_service("a", revision{3})}), std::nullopt);
    EXPECT_EQ(apply({delete_service("a")}), rejection_reason::not_found);
}

// Guards against a retried append that takes effect again after a later change.
TEST_F(config_state_test, a_repeated_id_changes_nothing) {
    EXPECT_EQ(apply({put_service("a")}, "once"), std::nullopt);
    EXPECT_EQ(apply({delete_service("a")}), std::nullopt);
    EXPECT_EQ(apply({put_service("a")}, "once"), rejection_reason::duplicate);
    EXPECT_TRUE(m_state.snapshot()->resources.empty());
    EXPECT_EQ(m_state.snapshot()->outcome_of("once")->at, revision{1});
}

TEST_F(config_state_test, forgets_the_oldest_ids_past_the_limit) {
    for (std::size_t i = 0; i <= max_outcomes; ++i) {
        apply({put_service("a")});
    }
    EXPECT_EQ(m_state.snapshot()->outcomes().size(), max_outcomes);
    EXPECT_EQ(m_state.snapshot()->outcome_of("c1"), nullptr);
    EXPECT_NE(m_state.snapshot()->outcome_of("c2"), nullptr);
}

// Guards G1 against a late or repeated record.
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

TEST_F(config_state_test, a_restored_state_decides_like_its_source) {
    apply({put_service("a")});
    apply({put_route("r", "missing")});
    config_state other;
    ASSERT_TRUE(other.restore(m_state.snapshot()));
    const change next{"c2", "eva", 1, {put_service("b")}};
    EXPECT_EQ(other.apply(revision{3}, next), m_state.apply(revision{3}, next));
    EXPECT_EQ(other.snapshot()->digest, m_state.snapshot()->digest);
}

// Guards against two daemons that agree on the version but decided differently.
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

// Guards against a daemon of an older build that guesses at records of a schema it does not know.
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

TEST_F(config_state_test, bounds_the_number_of_resources) {
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

// An outcome is kept for thousands of changes, so a hostile record must not make it large.
TEST_F(config_state_test, keeps_outcomes_small) {
    EXPECT_EQ(apply({put_service(std::string(100'000, 'x'))}), rejection_reason::invalid_field);
    const auto& kept = std::get<rejected>(m_state.snapshot()->outcome_of("c1")->result);
    EXPECT_FALSE(kept.resource);
    EXPECT_LE(kept.detail.size(), max_detail_length);
}

} // namespace
} // namespace boragehollow::config
