#include "log_server.hpp"

#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

namespace options = boost::program_options;
namespace streams = boragehollow::streams;

namespace {

struct arguments {
    std::string listen;
    streams::memory_log_settings settings;
};

tl::expected<arguments, std::string> parse(int count, char** values) {
    arguments parsed;
    std::uint64_t retained_seconds = 0;
    options::options_description description(
        "boragehollow_platform_log: stand-in for the platform's log service");
    auto add = description.add_options();
    add("help", "print this text");
    add("listen", options::value(&parsed.listen)->default_value("127.0.0.1:0"),
        "ADDRESS:PORT; port 0 selects a free port");
    add("retain-records", options::value(&parsed.settings.retained_records)->default_value(0),
        "maximum number of records kept in each stream; 0: no limit");
    add("retain-seconds", options::value(&retained_seconds)->default_value(0),
        "maximum age of records; 0: no limit");
    add("appends-per-second", options::value(&parsed.settings.appends_per_second)->default_value(400),
        "maximum number of appends per second; 0: no limit");
    try {
        options::variables_map found;
        options::store(options::parse_command_line(count, values, description), found);
        options::notify(found);
        if (found.contains("help")) {
            std::cout << description;
            std::exit(0);
        }
    } catch (const options::error& error) {
        return tl::unexpected(std::string(error.what()));
    }
    parsed.settings.retained_time = std::chrono::seconds(retained_seconds);
    return parsed;
}

int fail(const std::string& message) {
    std::cerr << "boragehollow_platform_log: " << message << '\n';
    return 2;
}

} // namespace

int main(int count, char** values) {
    const auto parsed = parse(count, values);
    if (!parsed) {
        return fail(parsed.error());
    }
    const auto listen = boragehollow::common::parse_endpoint(parsed->listen);
    if (!listen) {
        return fail(listen.error());
    }
    // Blocked before the server starts its threads, so that only sigwait receives the signals.
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGTERM);
    sigaddset(&stop_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
    const auto server = boragehollow::platform_log::log_server::start(
        *listen, std::make_shared<streams::memory_log>(parsed->settings));
    if (!server) {
        return fail(server.error());
    }
    std::cout << "listening on " << boragehollow::common::to_string((*server)->local_endpoint()) << std::endl;
    int received = 0;
    sigwait(&stop_signals, &received);
    return 0;
}
