#include "boragehollow/scenario/child_process.hpp"

#include "boragehollow/common/scope_guard.hpp"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

// sys/pidfd.h of glibc 2.36 declares its functions without C linkage.
extern "C" {
#include <sys/pidfd.h>
}

namespace boragehollow::scenario {

namespace {

using namespace std::chrono_literals;

/// Time that a program gets to end after each signal.
constexpr std::chrono::milliseconds termination_timeout = 5s;

std::string error_text(int number) {
    return std::generic_category().message(number);
}

/// Resets the signal mask and dispositions, so that the program does not inherit the signals that the runner
/// blocks or ignores, and puts the program into a new process group.
void reset_signals(posix_spawnattr_t& attributes) {
    sigset_t none;
    sigset_t all;
    sigemptyset(&none);
    sigfillset(&all);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setsigdefault(&attributes, &all);
    posix_spawnattr_setpgroup(&attributes, 0);
    posix_spawnattr_setflags(&attributes, static_cast<short>(POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF |
                                                             POSIX_SPAWN_SETPGROUP));
}

} // namespace

std::string to_string(const exit_state& state) {
    if (state.status) {
        return "status " + std::to_string(*state.status);
    }
    if (state.signal) {
        return "signal " + std::to_string(*state.signal);
    }
    return "unknown";
}

tl::expected<child_process, std::string> child_process::start(const std::filesystem::path& program,
                                                              const std::vector<std::string>& arguments,
                                                              const std::filesystem::path& log_file) {
    std::vector<std::string> words{program.string()};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(words.size() + 1);
    for (std::string& word : words) {
        pointers.push_back(word.data());
    }
    pointers.push_back(nullptr);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const common::scope_guard free_actions([&] { posix_spawn_file_actions_destroy(&actions); });
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);

    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    const common::scope_guard free_attributes([&] { posix_spawnattr_destroy(&attributes); });
    reset_signals(attributes);

    pid_t id = -1;
    const int failed = posix_spawn(&id, program.c_str(), &actions, &attributes, pointers.data(), environ);
    if (failed != 0) {
        return tl::unexpected("cannot start " + program.string() + ": " + error_text(failed));
    }
    const int descriptor = pidfd_open(id, 0);
    if (descriptor < 0) {
        const std::string reason = error_text(errno);
        ::kill(id, SIGKILL);
        ::waitpid(id, nullptr, 0);
        return tl::unexpected("cannot watch " + program.string() + ": " + reason);
    }
    return child_process(id, descriptor);
}

child_process::child_process(child_process&& other) noexcept
    : m_id(std::exchange(other.m_id, -1)), m_exit_descriptor(std::exchange(other.m_exit_descriptor, -1)),
      m_exit(other.m_exit) {}

child_process& child_process::operator=(child_process&& other) noexcept {
    if (this != &other) {
        end();
        m_id = std::exchange(other.m_id, -1);
        m_exit_descriptor = std::exchange(other.m_exit_descriptor, -1);
        m_exit = other.m_exit;
    }
    return *this;
}

child_process::~child_process() {
    end();
}

void child_process::send_signal(int number) const {
    if (m_id > 0 && !m_exit) {
        ::kill(m_id, number);
    }
}

std::optional<exit_state> child_process::wait_exit(std::chrono::milliseconds timeout) {
    if (m_exit || m_id <= 0) {
        return m_exit;
    }
    pollfd watched{m_exit_descriptor, POLLIN, 0};
    if (::poll(&watched, 1, static_cast<int>(timeout.count())) <= 0) {
        return std::nullopt;
    }
    int status = 0;
    if (::waitpid(m_id, &status, 0) != m_id) {
        return std::nullopt;
    }
    exit_state state;
    if (WIFEXITED(status)) {
        state.status = WEXITSTATUS(status);
    }
    if (WIFSIGNALED(status)) {
        state.signal = WTERMSIG(status);
    }
    m_exit = state;
    return m_exit;
}

void child_process::end() {
    if (m_id > 0 && !m_exit) {
        send_signal(SIGTERM);
        // A stopped process handles SIGTERM only after it continues.
        send_signal(SIGCONT);
        if (!wait_exit(termination_timeout)) {
            send_signal(SIGKILL);
            wait_exit(termination_timeout);
        }
    }
    if (m_exit_descriptor >= 0) {
        ::close(m_exit_descriptor);
        m_exit_descriptor = -1;
    }
    m_id = -1;
}

} // namespace boragehollow::scenario
