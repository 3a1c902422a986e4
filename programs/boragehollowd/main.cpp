#include "pipeline.hpp"

#include "boragehollow/settings/load.hpp"
#include "boragehollow/telemetry/event_log.hpp"

#include <boost/program_options.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <string>

namespace {

namespace options = boost::program_options;

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

boragehollow::telemetry::event_level level_of(boragehollow::settings::log_level level) {
    return static_cast<boragehollow::telemetry::event_level>(level);
}

/// Blocks the stop signals in all threads that are started later; the main thread waits for them.
sigset_t block_stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int serve(const boragehollow::settings::daemon_settings& settings) {
    const sigset_t signals = block_stop_signals();
    const boragehollow::telemetry::log_session log(level_of(settings.logging.level));
    auto pipeline = boragehollow::daemon::pipeline::start(settings);
    if (!pipeline) {
        std::cerr << "boragehollowd: " << pipeline.error() << '\n';
        return exit_failed;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    (*pipeline)->drain();
    return 0;
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
    const auto settings = boragehollow::settings::load_settings(file);
    if (!settings) {
        for (const auto& fault : settings.error()) {
            std::cerr << boragehollow::settings::to_string(fault, file) << '\n';
        }
        return exit_usage;
    }
    return serve(*settings);
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
