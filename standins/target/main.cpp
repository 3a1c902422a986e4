#include "announcer.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/scope_guard.hpp"
#include "http_server.hpp"
#include "options.hpp"
#include "request_handler.hpp"
#include "request_scheduler.hpp"

#include <civetweb.h>

#include <csignal>
#include <cstdio>
#include <iostream>
#include <optional>
#include <thread>

namespace {

using namespace boragehollow;
using standin::steady_time;
using std::chrono::milliseconds;

constexpr std::size_t scheduler_ring_capacity = 4'096;
constexpr milliseconds drain_poll_interval{50};
constexpr milliseconds reply_timeout{1'000};

/// Blocks the signals that `sigwait` receives in the main thread; threads that start later inherit the mask.
sigset_t block_stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// Announces the drain, and returns when no request has run for the duration `drain_quiet`.
void drain(const standin::target_options& options, standin::scheduler_ring& scheduler,
           standin::announcer_ring& announcer) {
    standin::switch_change message;
    message.apply = [](standin::switches& values) { values.drain = true; };
    const auto reply = message.reply;
    standin::ask(scheduler, standin::scheduler_message(std::move(message)), reply,
                 common::steady_clock::now() + reply_timeout);
    announcer.push_newest(standin::announce_now{});
    steady_time quiet_since = common::steady_clock::now();
    while (common::steady_clock::now() - quiet_since < options.drain_quiet) {
        std::this_thread::sleep_for(drain_poll_interval);
        const standin::status_query query;
        const auto current = standin::ask(scheduler, standin::scheduler_message(query), query.reply,
                                          common::steady_clock::now() + reply_timeout);
        if (!current || current->running > 0) {
            quiet_since = common::steady_clock::now();
        }
    }
}

int run(standin::target_options options, const sigset_t& signals) {
    standin::scheduler_ring scheduler_messages(scheduler_ring_capacity);
    standin::announcer_ring announcer_messages(1);
    const standin::request_handler handler(options, scheduler_messages);
    const common::duty scheduler("keeper", standin::scheduler_loop(options, scheduler_messages));
    const common::scope_guard close_scheduler([&scheduler_messages] { scheduler_messages.close(); });
    const standin::http_server::settings settings{options.listen, options.connections,
                                                  options.connection_cost};
    auto server = standin::http_server::start(
        settings, [&handler](mg_connection* connection) { return handler.handle(connection); });
    if (!server) {
        std::cerr << server.error() << "\n";
        return 1;
    }
    options.listen.port = (*server)->port();
    const std::string address = common::to_string(options.listen);
    std::optional<common::duty> announcer;
    if (options.announce) {
        announcer.emplace("announcer", standin::announce_loop(options, options.listen.port,
                                                              scheduler_messages, announcer_messages));
    }
    std::cout << "listening on " << address << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    drain(options, scheduler_messages, announcer_messages);
    server->reset();
    announcer_messages.close();
    if (announcer) {
        announcer->join();
    }
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    const auto options = standin::parse_target_options(argc, argv);
    if (!options) {
        (options.error().error ? std::cerr : std::cout) << options.error().text << "\n";
        return options.error().error ? 2 : 0;
    }
    const sigset_t signals = block_stop_signals();
    mg_init_library(0);
    const int result = run(*options, signals);
    mg_exit_library();
    return result;
}
