#include "operator_json.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <algorithm>
#include <numeric>

namespace boragehollow::daemon {

namespace {

using codec::json;

std::string state_name(membership::target_state state) {
    switch (state) {
    case membership::target_state::none:
        return "none";
    case membership::target_state::starting:
        return "starting";
    case membership::target_state::ready:
        return "ready";
    case membership::target_state::draining:
        return "draining";
    case membership::target_state::gone:
        return "gone";
    }
    return "none";
}

json event_json(const telemetry::timeline_event& event) {
    return {{"time_us", event.at.wall.time_since_epoch().count()},
            {"counter", event.at.counter},
            {"host", event.host},
            {"event", telemetry::event_code(event.number)},
            {"level", event.level},
            {"channel", event.channel},
            {"text", event.text},
            {"fields", event.fields}};
}

int status_of(const config::rejected& rejection) {
    constexpr int conflict = 409;
    constexpr int unprocessable = 422;
    return rejection.reason == config::rejection_reason::revision_conflict ? conflict : unprocessable;
}

} // namespace

bool mesh_progress::everywhere() const {
    return std::all_of(domains.begin(), domains.end(), [](const domain_progress& domain) {
        return domain.answered && domain.in_force == domain.members;
    });
}

std::size_t mesh_progress::members() const {
    return std::accumulate(domains.begin(), domains.end(), std::size_t{0},
                           [](std::size_t sum, const domain_progress& domain) { return sum + domain.members; });
}

std::size_t mesh_progress::in_force() const {
    return std::accumulate(domains.begin(), domains.end(), std::size_t{0},
                           [](std::size_t sum, const domain_progress& domain) { return sum + domain.in_force; });
}

json progress_json(const mesh_progress& progress) {
    json domains = json::array();
    for (const domain_progress& domain : progress.domains) {
        domains.push_back({{"failure_domain", domain.failure_domain},
                           {"answered", domain.answered},
                           {"members", domain.members},
                           {"in_force", domain.in_force}});
    }
    return {{"revision", progress.version.value},
            {"in_force", progress.in_force()},
            {"members", progress.members()},
            {"everywhere", progress.everywhere()},
            {"domains", std::move(domains)}};
}

json status_json(const daemon_status& status, const config::config_snapshot* snapshot) {
    json target = nullptr;
    if (status.target) {
        target = {{"service", status.target->target.service},
                  {"address", common::to_string(status.target->address)},
                  {"slots", status.target->target.slots},
                  {"state", state_name(status.target->target.state)},
                  {"labels", status.target->target.labels}};
    }
    // The digest is written as text, since many JSON readers keep only 53 bits of a number.
    return {{"host", status.host},
            {"failure_domain", status.failure_domain},
            {"ready", status.ready},
            {"stopping", status.stopping},
            {"version", snapshot != nullptr ? snapshot->version.value : 0},
            {"digest", snapshot != nullptr ? std::to_string(snapshot->digest) : "0"},
            {"resources", snapshot != nullptr ? snapshot->resources.size() : 0},
            {"log_reader", status.log_reader},
            {"compactor", status.compactor},
            {"hosts", {{"alive", status.alive}, {"suspect", status.suspect}, {"dead", status.dead}}},
            {"target", std::move(target)}};
}

json timeline_json(const std::vector<host_timeline>& timelines) {
    json silent = json::array();
    std::uint64_t dropped = 0;
    std::vector<std::vector<telemetry::timeline_event>> pages;
    for (const host_timeline& each : timelines) {
        if (!each.answered) {
            silent.push_back(each.host);
            continue;
        }
        dropped += each.page.dropped;
        pages.push_back(each.page.events);
    }
    json events = json::array();
    for (const telemetry::timeline_event& event : telemetry::merge_timelines(pages)) {
        events.push_back(event_json(event));
    }
    return {{"events", std::move(events)}, {"dropped", dropped}, {"not_answered", std::move(silent)}};
}

void respond_json(web::server_exchange& exchange, int status, const json& body) {
    exchange.respond(status, {{"Content-Type", "application/json"}}, codec::dump_json(body) + "\n");
}

void respond_error(web::server_exchange& exchange, int status, const std::string& error, const std::string& detail) {
    respond_json(exchange, status, {{"error", error}, {"detail", detail}});
}

void respond_faults(web::server_exchange& exchange, const codec::json_faults& faults) {
    json list = json::array();
    for (const codec::json_fault& fault : faults) {
        list.push_back({{"kind", codec::to_string(fault.kind)}, {"field", fault.field}, {"detail", fault.detail}});
    }
    respond_json(exchange, 400, {{"error", "invalid_body"}, {"faults", std::move(list)}});
}

void respond_published(web::server_exchange& exchange, const config::change& change, const publish_result& result) {
    std::visit(common::overloaded{
                   [&](const change_judged& judged) {
                       const config::change_outcome outcome{change.change_id, judged.at, change.author, judged.result};
                       const auto* rejection = std::get_if<config::rejected>(&judged.result);
                       respond_json(exchange, rejection != nullptr ? status_of(*rejection) : 200,
                                    codec::to_json(outcome));
                   },
                   [&](const change_not_appended& refused) {
                       respond_json(exchange, 503,
                                    {{"error", "not_appended"},
                                     {"outcome", "not_run"},
                                     {"change_id", change.change_id},
                                     {"detail", refused.detail}});
                   },
                   [&](const change_unknown& lost) {
                       respond_json(exchange, 503,
                                    {{"error", "append_unknown"},
                                     {"outcome", "unknown"},
                                     {"change_id", change.change_id},
                                     {"detail", lost.detail}});
                   }},
               result);
}

} // namespace boragehollow::daemon
