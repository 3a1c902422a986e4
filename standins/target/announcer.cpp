#include "announcer.hpp"

#include "http_client.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstring>

namespace boragehollow::standin {

namespace {

constexpr milliseconds announce_interval{500};

void announce(const target_options& options, std::uint16_t port, const status_report& current) {
    const nlohmann::json text{{"service", options.service},
                              {"port", port},
                              {"slots", current.slots},
                              {"labels", options.labels},
                              {"state", current.state},
                              {"load", {{"in_use", current.load.in_use}, {"queued", current.load.queued}}}};
    const std::string body = text.dump();
    http_request request;
    request.method = "POST";
    request.target = "/v1/target";
    request.headers = {{"Content-Type", "application/json"}, {"Connection", "close"}};
    request.body_size = body.size();
    request.body = [&body](std::span<char> out) { std::copy_n(body.begin(), out.size(), out.begin()); };
    // An announcement that fails is not retried, since the next one follows after the interval.
    auto client = http_client::connect(*options.announce);
    if (client) {
        (void)client->send(request, announce_interval, {});
    }
}

} // namespace

std::function<void(std::stop_token)> announce_loop(const target_options& options, std::uint16_t port,
                                                   scheduler_ring& scheduler, announcer_ring& ring) {
    return [options, port, &scheduler, &ring](const std::stop_token&) {
        steady_time next = common::steady_clock::now();
        while (!ring.is_closed()) {
            const status_query message;
            const auto current = ask(scheduler, scheduler_message(message), message.reply,
                                     common::steady_clock::now() + announce_interval);
            if (current && !current->silent) {
                announce(options, port, *current);
            }
            next = std::max(next + announce_interval, common::steady_clock::now());
            ring.pop_until(next);
        }
    };
}

} // namespace boragehollow::standin
