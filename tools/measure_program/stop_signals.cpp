#include "stop_signals.hpp"

#include <cstdlib>
#include <fstream>
#include <system_error>

namespace boragehollow::measure {

namespace {

constexpr timespec check_interval{0, 200'000'000};
constexpr int interrupted_exit_status = 130;

void kill_children() {
    for (const auto& thread : std::filesystem::directory_iterator("/proc/self/task")) {
        std::ifstream children(thread.path() / "children");
        for (pid_t id = 0; children >> id;) {
            ::kill(id, SIGKILL);
        }
    }
}

} // namespace

sigset_t block_stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

std::unique_ptr<common::duty> exit_on_signal(const sigset_t& signals,
                                             const std::filesystem::path& temporary_directory) {
    return std::make_unique<common::duty>(
        "signals", [signals, temporary_directory](const std::stop_token& stop) {
            while (!stop.stop_requested()) {
                if (sigtimedwait(&signals, nullptr, &check_interval) < 0) {
                    continue;
                }
                kill_children();
                std::error_code ignored;
                if (!temporary_directory.empty()) {
                    std::filesystem::remove_all(temporary_directory, ignored);
                }
                std::_Exit(interrupted_exit_status);
            }
        });
}

} // namespace boragehollow::measure
