#pragma once

#include "boragehollow/balancing/balancer.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace boragehollow::balancing {

using std::chrono::hours;
using std::chrono::seconds;

inline target_view make_target(int number, const std::string& domain = "near") {
    target_view view;
    view.host = "t" + std::to_string(number);
    view.failure_domain = domain;
    view.peer = {"127.0.0.1", static_cast<std::uint16_t>(9'000 + number)};
    view.slots = 6;
    view.first_seen = steady_time(hours(1));
    return view;
}

/// Balancer of the service "desk" with a manual clock.
class balancer_fixture : public ::testing::Test {
protected:
    balancer_fixture() { policy.name = "desk"; }

    void use(const config::service_policy& value, const std::vector<config::target_rule>& rules = {}) {
        subject.update_policy(value, rules, now);
    }

    void use_targets(int count) {
        std::vector<target_view> views;
        views.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            views.push_back(make_target(i));
        }
        subject.update_targets("desk", views, now);
    }

    attempt_request request(attempt_kind kind = attempt_kind::first,
                            std::vector<std::string> tried = {}) const {
        attempt_request value;
        value.call_id = "call";
        value.service = "desk";
        value.idempotent = true;
        value.deadline = now + seconds(10);
        value.tried_hosts = std::move(tried);
        value.kind = kind;
        return value;
    }

    void finish(const attempt_target& choice, attempt_outcome outcome,
                milliseconds latency = milliseconds(5)) {
        subject.record_result({choice.id, outcome, latency, std::nullopt}, now);
    }

    selection_error_reason refusal(const attempt_request& value) {
        const auto choice = subject.choose(value, now);
        EXPECT_FALSE(choice);
        return choice ? selection_error_reason::unknown_service : choice.error().reason;
    }

    std::size_t ejected() const {
        std::size_t count = 0;
        for (const target_status& target : subject.targets("desk", now)) {
            count += target.ejected ? 1 : 0;
        }
        return count;
    }

    config::service_policy policy;
    balancer subject{balancer_settings{"near"}, common::random_source(5)};
    steady_time now = steady_time(hours(2));
};

} // namespace boragehollow::balancing
