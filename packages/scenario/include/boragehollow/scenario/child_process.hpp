#pragma once

#include <tl/expected.hpp>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace boragehollow::scenario {

/// How a process ended: its exit status, or the signal that ended it.
struct exit_state {
    std::optional<int> status;
    std::optional<int> signal;
};

std::string to_string(const exit_state& state);

/// A running program. The destructor ends the program with SIGTERM, and with SIGKILL after five seconds.
class child_process {
public:
    /// Starts `program` in a new process group, so that Ctrl-C reaches only the runner. Standard output and
    /// standard error are appended to `log_file`.
    static tl::expected<child_process, std::string> start(const std::filesystem::path& program,
                                                          const std::vector<std::string>& arguments,
                                                          const std::filesystem::path& log_file);

    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    void send_signal(int number) const;

    /// Waits for the program to end. Returns an empty optional if it is still running after `timeout`.
    std::optional<exit_state> wait_exit(std::chrono::milliseconds timeout);
    bool running() { return !wait_exit(std::chrono::milliseconds(0)); }

    pid_t id() const { return m_id; }

private:
    child_process(pid_t id, int exit_descriptor) : m_id(id), m_exit_descriptor(exit_descriptor) {}

    void end();

    pid_t m_id = -1;
    int m_exit_descriptor = -1; ///< Process descriptor; becomes readable when the program ends.
    std::optional<exit_state> m_exit;
};

} // namespace boragehollow::scenario
