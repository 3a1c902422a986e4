#include "boragehollow/config/limits.hpp"
#include "boragehollow/config/validation.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace boragehollow::config {
namespace {

std::vector<std::string> invalid_fields(const resource& value) {
    std::vector<std::string> fields;
    for (const field_error& error : validate(value)) {
        fields.push_back(error.field);
    }
    return fields;
}

// Guards against a `check` command that reports only the first of several errors.
TEST(validation, reports_every_invalid_field_with_its_path) {
    const route invalid{"Bad Name", "host:80",       "/a/../b", {"GET", "get", "GET"},
                        "",         milliseconds{0}, false,     work_class::short_work};
    const std::vector<std::string> expected{"name",       "host",    "path_prefix", "methods[1]",
                                            "methods[2]", "service", "deadline"};
    EXPECT_EQ(invalid_fields(invalid), expected);

    service_policy policy{.name = "orders"};
    policy.balancing = peak_ewma{milliseconds{0}};
    policy.retry.max_attempts = 0;
    policy.retry.max_backoff = milliseconds{1};
    policy.hedging.budget_ratio = std::nan("");
    policy.ejection.latency_factor = 0.5;
    const std::vector<std::string> policy_errors{"balancing.decay", "retry.max_attempts", "retry.max_backoff",
                                                 "hedging.budget_ratio", "ejection.latency_factor"};
    EXPECT_EQ(invalid_fields(policy), policy_errors);

    service_policy by_load{.name = "orders"};
    by_load.balancing = load_aware{milliseconds{0}};
    EXPECT_EQ(invalid_fields(by_load), std::vector<std::string>{"balancing.decay"});

    const target_rule rule{"r", "orders", {{"zone", "a b"}}, domain_preference::any, 1.5};
    EXPECT_EQ(invalid_fields(rule), (std::vector<std::string>{"labels.zone", "spill_over"}));
}

// Guards against default values outside the permitted ranges.
TEST(validation, defaults_are_valid) {
    EXPECT_TRUE(validate(route{.name = "r", .service = "s"}).empty());
    EXPECT_TRUE(validate(service_policy{.name = "s"}).empty());
    EXPECT_TRUE(validate(target_rule{.name = "t", .service = "s"}).empty());
}

// Guards against two entries of the route table for the same prefix in different forms.
TEST(validation, accepts_only_normalized_prefixes) {
    for (const char* path : {"", "a", "//", "/a/", "/a//b", "/./a", "/a?b", "/a b"}) {
        EXPECT_FALSE(validate(route{.name = "r", .path_prefix = path, .service = "s"}).empty()) << path;
    }
    for (const char* path : {"/", "/a", "/a/b.c"}) {
        EXPECT_TRUE(validate(route{.name = "r", .path_prefix = path, .service = "s"}).empty()) << path;
    }
}

// Guards against changes without operations, with too many, or with two operations on one resource.
TEST(validation, limits_the_operations_of_a_change) {
    change record{"id", "ana", 1, {}};
    EXPECT_EQ(validate_operations(record)->field, "operations");
    for (std::size_t i = 0; i <= max_operations; ++i) {
        record.operations.emplace_back(put_operation{service_policy{.name = "s" + std::to_string(i)}, {}});
    }
    EXPECT_EQ(validate_operations(record)->reason, rejection_reason::limit_exceeded);
    record.operations.resize(2, record.operations.front());
    EXPECT_FALSE(validate_operations(record));
    record.operations[1] = record.operations[0];
    EXPECT_EQ(validate_operations(record)->field, "operations[1]");
    record.operations[1] = activate_schema_operation{2};
    EXPECT_EQ(validate_operations(record)->field, "operations[1].activate_schema");
}

} // namespace
} // namespace boragehollow::config
