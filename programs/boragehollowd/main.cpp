#include "document_pipeline.hpp"
#include "pipeline.hpp"

#include "boragehollow/settings/load.hpp"
#include "boragehollow/telemetry/event_log.hpp"

#include <boost/program_options.hpp>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>
#include <string>
#include <utility>

namespace {

namespace options = boost::program_options;

/// Limit on writing the last log lines at shutdown; a reader that does not read them is not waited for.
constexpr std::chrono::milliseconds log_flush_timeout{200};

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

boragehollow::telemetry::event_level level_of(boragehollow::settings::log_level level) {
    return static_cast<boragehollow::telemetry::event_level>(level);
}

/// Reads the settings file and prints its errors, if there are any.
std::optional<boragehollow::settings::daemon_settings> read_settings(const std::string& file) {
    auto settings = boragehollow::settings::load_settings(file);
    if (settings) {
        return std::move(*settings);
    }
    for (const auto& fault : settings.error()) {
        std::cerr << boragehollow::settings::to_string(fault, file) << '\n';
    }
    return std::nullopt;
}

/// Blocks the signals in all threads that are started later; the main thread waits for them.
sigset_t block_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// Runs until a stop signal arrives. SIGHUP reloads the settings file; one with errors changes nothing.
template <class Pipeline>
int run_pipeline(const boragehollow::settings::daemon_settings& settings, const std::string& file,
                 const sigset_t& signals) {
    auto pipeline = Pipeline::start(settings);
    if (!pipeline) {
        std::cerr << "boragehollowd: " << pipeline.error() << '\n';
        return exit_failed;
    }
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && signal == SIGHUP) {
        if (const auto reloaded = read_settings(file)) {
            (*pipeline)->reload(*reloaded);
        }
    }
    (*pipeline)->drain();
    // No state is left to write, and joining idle HTTP workers can take longer than the platform waits for
    // the exit.
    boragehollow::telemetry::log_session::flush(std::chrono::steady_clock::now() + log_flush_timeout);
    std::quick_exit(0);
}

int run_daemon(const boragehollow::settings::daemon_settings& settings, const std::string& file) {
    using boragehollow::settings::configuration_source;
    const sigset_t signals = block_signals();
    const boragehollow::telemetry::log_session log(level_of(settings.logging.level));
    if (settings.platform.configuration == configuration_source::documents) {
        return run_pipeline<boragehollow::daemon::document_pipeline>(settings, file, signals);
    }
    return run_pipeline<boragehollow::daemon::pipeline>(settings, file, signals);
}

int run(int argc, char** argv) {
    std::string file;
    options::options_description description("boragehollowd: daemon of the boragehollow service mesh");
    description.add_options()("help", "print this text")("version", "print the version")(
        "settings", options::value(&file), "settings file (TOML)");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    if (values.count("version") > 0) {
        std::cout << "boragehollowd " BORAGEHOLLOW_VERSION "\n";
        return 0;
    }
    if (file.empty()) {
        std::cerr << "boragehollowd: --settings FILE is required\n";
        return exit_usage;
    }
    const auto settings = read_settings(file);
    return settings ? run_daemon(*settings, file) : exit_usage;
}

} // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "boragehollowd: " << error.what() << '\n';
        return exit_usage;
    }
}
