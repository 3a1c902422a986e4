#include "boragehollow/scenario/child_process.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>

namespace boragehollow::scenario {
namespace {

using namespace std::chrono_literals;

const std::filesystem::path log_file = std::filesystem::path(testing::TempDir()) / "child_process_test.log";

TEST(child_process, reports_how_a_program_ended) {
    std::filesystem::remove(log_file);
    auto process = child_process::start("/bin/sh", {"-c", "echo seen; exit 3"}, log_file);
    ASSERT_TRUE(process) << process.error();
    const auto ended = process->wait_exit(10s);
    ASSERT_TRUE(ended);
    EXPECT_EQ(ended->status, 3);
    std::string line;
    std::getline(std::ifstream(log_file) >> std::ws, line);
    EXPECT_EQ(line, "seen");
}

// Guards against programs that outlive the runner: a program that is stopped by SIGSTOP does not handle
// SIGTERM.
TEST(child_process, destructor_ends_a_stopped_program) {
    pid_t id = 0;
    {
        auto process = child_process::start("/bin/sleep", {"600"}, log_file);
        ASSERT_TRUE(process) << process.error();
        id = process->id();
        process->send_signal(SIGSTOP);
        EXPECT_TRUE(process->running());
        const child_process moved = std::move(*process);
        EXPECT_EQ(moved.id(), id);
    }
    EXPECT_NE(::kill(id, 0), 0);
}

TEST(child_process, reports_the_signal_of_a_killed_program) {
    auto process = child_process::start("/bin/sleep", {"600"}, log_file);
    ASSERT_TRUE(process) << process.error();
    EXPECT_FALSE(process->wait_exit(0ms));
    process->send_signal(SIGKILL);
    const auto ended = process->wait_exit(10s);
    ASSERT_TRUE(ended);
    EXPECT_EQ(ended->signal, SIGKILL);
}

TEST(child_process, error_names_a_program_that_does_not_exist) {
    const auto process = child_process::start("/nonexistent/program", {}, log_file);
    ASSERT_FALSE(process);
    EXPECT_NE(process.error().find("/nonexistent/program"), std::string::npos);
}

} // namespace
} // namespace boragehollow::scenario
