#include "announcer.hpp"

#include "http_client.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstring>

namespace boragehollow::standin {

namespace {

constexpr milliseconds interval{500};

void announce(const target_options& options, std::uint16_t port, const report& current) {
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
    // A daemon that does not answer gets the next heartbeat; nothing is queued for it.
    auto client = http_client::connect(*options.announce);
    if (client) {
        (void)client->send(request, interval, {});
    }
}

} // namespace

std::function<void(std::stop_token)> announce_loop(const target_options& options, std::uint16_t port,
                                                   keeper_ring& keeper, announcer_ring& ring) {
    return [options, port, &keeper, &ring](const std::stop_token&) {
        steady_time next = common::steady_clock::now();
        while (!ring.closed()) {
            const read_report message;
            const auto current =
                ask(keeper, keeper_message(message), message.reply, common::steady_clock::now() + interval);
            if (current && !current->silent) {
                announce(options, port, *current);
            }
            next = std::max(next + interval, common::steady_clock::now());
            ring.pop_until(next);
        }
    };
}

} // namespace boragehollow::standin
