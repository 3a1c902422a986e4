#pragma once

#include "boragehollow/admission/admission_controller.hpp"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace boragehollow::admission {

using std::chrono::hours;
using std::chrono::seconds;

/// Controller of one target with a manual clock.
class admission_fixture : public ::testing::Test {
protected:
    explicit admission_fixture(admission_settings settings = {}) : controller(settings) { set_target(6); }

    void set_target(std::uint32_t slots, target_state state = target_state::ready) {
        note(controller.update_target(local_target{"desk", slots, state}, now));
    }

    void set_policy(const config::admission_policy& policy) { note(controller.update_policy(policy, now)); }

    admission_request request(const std::string& call_id, const std::string& caller = "c",
                              config::work_class work = config::work_class::short_work) {
        return {admission_id{++last_id}, call_id, "desk", caller, work, false, std::nullopt,
                now + seconds(10)};
    }

    admission_id submit(admission_request value) {
        const admission_id id = value.id;
        note(controller.submit(std::move(value), now));
        return id;
    }

    admission_id submit_long(const std::string& call_id) {
        return submit(request(call_id, "c", config::work_class::long_work));
    }

    void finish(admission_id id, call_result result = call_result::answered,
                milliseconds latency = milliseconds(2)) {
        note(controller.finish(id, latency, result, now));
    }

    void note(const admission_controller::effects& effects) {
        for (const effect& one : effects) {
            if (const auto* grant = std::get_if<granted>(&one)) {
                grants.push_back(grant->call_id);
            } else {
                const auto& refusal = std::get<refused>(one);
                refusals.emplace_back(refusal.call_id, refusal.reason);
            }
        }
    }

    refusal_reason last_refusal() const { return refusals.back().second; }

    admission_controller controller;
    steady_time now = steady_time(hours(1));
    std::uint64_t last_id = 0;
    std::vector<std::string> grants;
    std::vector<std::pair<std::string, refusal_reason>> refusals;
};

} // namespace boragehollow::admission
