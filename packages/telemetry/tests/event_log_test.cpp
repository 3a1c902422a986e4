#include "boragehollow/telemetry/event_log.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace boragehollow::telemetry {
namespace {

using std::chrono::milliseconds;

// Guards against log lines that cannot be parsed back into their fields.
TEST(event_log, quotes_values_with_spaces_quotes_and_line_breaks) {
    const event_description* description = find_event(1203);
    ASSERT_NE(description, nullptr);
    const std::string line = format_event(
        *description, {{"endpoint", "10.0.0.9:8100"}, {"error", "said \"no\"\nand left"}, {"empty", ""}});
    EXPECT_EQ(line,
              R"(BH1203 log_unreachable endpoint=10.0.0.9:8100 error="said \"no\"\nand left" empty="")");
}

TEST(event_log, formats_numbers_and_durations_with_units) {
    EXPECT_EQ(event_field("count", 7U).value, "7");
    EXPECT_EQ(event_field("wait", milliseconds(3)).value, "3000us");
    EXPECT_EQ(event_field("ready", true).value, "true");
}

// Guards against events that are logged but missing in the timeline, or arrive there without level or
// channel.
TEST(event_log, forwards_events_to_the_timeline_in_order) {
    std::vector<timeline_event> received;
    const event_log log("quito-norte-1", std::make_shared<common::hybrid_clock>(),
                        [&](timeline_event event) { received.push_back(std::move(event)); });
    log.emit(event_number::log_unreachable, {{"error", "refused"}});
    log.emit(event_number::spread_records_received);
    log.emit(event_number::log_reachable_again);

    ASSERT_EQ(received.size(), 2U) << "events of level debug must not reach the timeline";
    EXPECT_EQ(received[0].number, 1203);
    EXPECT_EQ(received[0].host, "quito-norte-1");
    EXPECT_EQ(received[0].level, "warning");
    EXPECT_EQ(received[0].channel, "platform");
    EXPECT_EQ(received[0].fields.at("error"), "refused");
    EXPECT_LT(received[0].at, received[1].at);
}

// Guards against log lines and a timeline that outgrow the memory of their host because events hold long
// texts of callers (review case 8).
TEST(event_log, truncates_long_values) {
    std::vector<timeline_event> received;
    const event_log log("quito-norte-1", std::make_shared<common::hybrid_clock>(),
                        [&](timeline_event event) { received.push_back(std::move(event)); });
    log.emit(event_number::log_unreachable,
             {{"error", std::string(16'000, 'x')}, {"endpoint", std::string(max_event_field_bytes, 'y')}});
    ASSERT_EQ(received.size(), 1U);
    const std::string& shortened = received[0].fields.at("error");
    EXPECT_EQ(shortened.size(), max_event_field_bytes);
    EXPECT_TRUE(shortened.ends_with("xxx..."));
    EXPECT_EQ(received[0].fields.at("endpoint"), std::string(max_event_field_bytes, 'y'));
}

/// log4cplus can be initialized only once per process.
log_session& process_session() {
    static log_session session(event_level::info);
    return session;
}

// Guards against events below the log level in the output, and against output on standard error.
TEST(event_log, writes_events_at_or_above_the_level_to_standard_output) {
    log_session& session = process_session();
    session.set_level(event_level::warning);
    const event_log log("h", std::make_shared<common::hybrid_clock>(), nullptr);
    testing::internal::CaptureStderr();
    testing::internal::CaptureStdout();
    log.emit(event_number::log_reachable_again);
    log.emit(event_number::log_unreachable, {{"error", "refused"}});
    EXPECT_TRUE(log_session::flush(common::steady_clock::now() + std::chrono::seconds(5)));
    const std::string output = testing::internal::GetCapturedStdout();
    EXPECT_EQ(testing::internal::GetCapturedStderr(), "");
    EXPECT_EQ(output.find("BH1204"), std::string::npos);
    EXPECT_NE(output.find("WARN  platform BH1203 log_unreachable error=refused"), std::string::npos)
        << output;
}

// Guards against `emit` blocking while the log is written, and against lines dropped without a log entry.
TEST(event_log, never_blocks_and_counts_dropped_lines) {
    testing::internal::CaptureStdout();
    {
        process_session().set_level(event_level::info);
        const event_log log("h", std::make_shared<common::hybrid_clock>(), nullptr);
        const auto begun = std::chrono::steady_clock::now();
        for (int i = 0; i < 20'000; ++i) {
            log.emit(event_number::log_unreachable, {{"error", i}});
        }
        // The pauses of the writer alone would take far longer for all of these lines.
        EXPECT_LT(std::chrono::steady_clock::now() - begun, std::chrono::seconds(2));
        EXPECT_TRUE(log_session::flush(common::steady_clock::now() + std::chrono::seconds(5)));
    }
    const std::string output = testing::internal::GetCapturedStdout();
    EXPECT_NE(output.find("log_lines_dropped total="), std::string::npos);
    EXPECT_LT(std::count(output.begin(), output.end(), '\n'), 20'000);
}

} // namespace
} // namespace boragehollow::telemetry
