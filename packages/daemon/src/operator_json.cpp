#include "operator_json.hpp"

#include "boragehollow/common/overloaded.hpp"

#include "boragehollow/config/limits.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <numeric>

namespace boragehollow::daemon {

namespace {

using codec::json;

std::string target_state_name(membership::target_state state) {
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

/// 16 hexadecimal digits, since many JSON parsers keep only 53 bits of a number.
std::string digest_text(std::uint64_t digest) {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(digest));
    return text.data();
}

/// RFC 3339 in UTC, with microseconds so that the order of the texts is the order of the events.
std::string time_text(common::wall_time time) {
    const auto since_epoch = time.time_since_epoch();
    const auto seconds = std::chrono::floor<std::chrono::seconds>(since_epoch);
    const std::time_t whole = seconds.count();
    std::tm utc{};
    gmtime_r(&whole, &utc);
    std::array<char, 32> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    std::array<char, 48> text{};
    std::snprintf(text.data(), text.size(), "%s.%06lldZ", date.data(),
                  static_cast<long long>((since_epoch - seconds).count()));
    return text.data();
}

json event_json(const telemetry::timeline_event& event) {
    return {{"time", time_text(event.at.wall)},
            {"wall_us", event.at.wall.time_since_epoch().count()},
            {"counter", event.at.counter},
            {"host", event.host},
            {"event", telemetry::event_code(event.number)},
            {"number", event.number},
            {"level", event.level},
            {"component", event.channel},
            {"message", event.text},
            {"fields", event.fields}};
}

json error_json(std::string_view outcome, const std::string& reason, const std::string& detail) {
    return {{"outcome", outcome}, {"reason", reason}, {"detail", detail}};
}

void respond_error(web::server_exchange& exchange, int status, std::string_view outcome, const json& body) {
    exchange.respond(status,
                     {{"Content-Type", "application/json"}, {"boragehollow-outcome", std::string(outcome)}},
                     codec::dump_json(body) + "\n");
}

} // namespace

bool mesh_progress::active_everywhere() const {
    return std::all_of(domains.begin(), domains.end(), [](const domain_progress& domain) {
        return domain.replied && domain.at_revision == domain.members;
    });
}

std::size_t mesh_progress::members() const {
    return std::accumulate(
        domains.begin(), domains.end(), std::size_t{0},
        [](std::size_t sum, const domain_progress& domain) { return sum + domain.members; });
}

std::size_t mesh_progress::at_revision() const {
    return std::accumulate(
        domains.begin(), domains.end(), std::size_t{0},
        [](std::size_t sum, const domain_progress& domain) { return sum + domain.at_revision; });
}

json progress_json(const mesh_progress& progress) {
    json domains = json::array();
    for (const domain_progress& domain : progress.domains) {
        json entry{{"failure_domain", domain.failure_domain}, {"revision", progress.version.value}};
        entry["daemons"] = domain.replied ? json(domain.members) : json(nullptr);
        entry["at_revision"] = domain.replied ? json(domain.at_revision) : json(nullptr);
        domains.push_back(std::move(entry));
    }
    return domains;
}

std::string_view state_name(const daemon_status& status) {
    if (status.stopping) {
        return "draining";
    }
    return status.ready ? "ready" : "starting";
}

json status_json(const daemon_status& status, const config::config_snapshot* snapshot,
                 const mesh_progress& progress) {
    json target = nullptr;
    if (status.target) {
        target = {{"service", status.target->target.service},
                  {"address", common::to_string(status.target->address)},
                  {"slots", status.target->target.slots},
                  {"state", target_state_name(status.target->target.state)},
                  {"labels", status.target->target.labels}};
    }
    return {{"host", status.host},
            {"failure_domain", status.failure_domain},
            {"state", state_name(status)},
            {"ready", status.ready},
            {"version", snapshot != nullptr ? snapshot->version.value : 0},
            {"digest", digest_text(snapshot != nullptr ? snapshot->digest : 0)},
            {"active_schema", snapshot != nullptr ? snapshot->active_schema : 1},
            {"newest_known_schema", config::newest_known_schema},
            {"resources", snapshot != nullptr ? snapshot->resources.size() : 0},
            {"log_reader", status.log_reader},
            {"compactor", status.compactor},
            {"members_alive", status.alive},
            {"members_suspect", status.suspect},
            {"members_dead", status.dead},
            {"target", std::move(target)},
            {"in_force", progress_json(progress)}};
}

json accounts_json(const accounts::accounts_summary& summary) {
    json list = json::array();
    for (const accounts::account_summary& account : summary.accounts) {
        json keys = json::array();
        for (const accounts::key_fingerprint key : account.keys) {
            keys.push_back(accounts::to_string(key));
        }
        json calls = json::object();
        for (std::size_t end = 0; end < accounts::call_ends; ++end) {
            calls[std::string(accounts::to_string(static_cast<accounts::call_end>(end)))] =
                account.calls.at(end);
        }
        list.push_back({{"name", account.name},
                        {"priority", account.priority ? json(*account.priority) : json(nullptr)},
                        {"rate_limit", account.rate_limit},
                        {"burst", account.burst},
                        {"rate_in_use", std::round(account.rate_in_use * 10) / 10},
                        {"calls", std::move(calls)},
                        {"keys", std::move(keys)}});
    }
    return {{"version", summary.version.value}, {"accounts", std::move(list)}};
}

json timeline_json(const std::vector<host_timeline>& timelines) {
    json unresponsive = json::array();
    std::uint64_t dropped = 0;
    std::vector<std::vector<telemetry::timeline_event>> pages;
    for (const host_timeline& each : timelines) {
        if (!each.replied) {
            unresponsive.push_back(each.host);
            continue;
        }
        dropped += each.page.dropped;
        pages.push_back(each.page.events);
    }
    json events = json::array();
    for (const telemetry::timeline_event& event : telemetry::merge_timelines(pages)) {
        events.push_back(event_json(event));
    }
    return {{"events", std::move(events)}, {"dropped", dropped}, {"not_answered", std::move(unresponsive)}};
}

void respond_json(web::server_exchange& exchange, int status, const json& body) {
    exchange.respond(status, {{"Content-Type", "application/json"}}, codec::dump_json(body) + "\n");
}

void respond_not_run(web::server_exchange& exchange, int status, const std::string& reason,
                     const std::string& detail) {
    respond_error(exchange, status, "not_run", error_json("not_run", reason, detail));
}

void respond_errors(web::server_exchange& exchange, const codec::json_errors& faults) {
    json list = json::array();
    for (const codec::json_error& fault : faults) {
        list.push_back(
            {{"kind", codec::to_string(fault.kind)}, {"field", fault.field}, {"detail", fault.detail}});
    }
    json body =
        error_json("not_run", "bad_request", "the body has " + std::to_string(faults.size()) + " faults");
    body["faults"] = std::move(list);
    respond_error(exchange, 400, "not_run", body);
}

void respond_published(web::server_exchange& exchange, const config::change& change,
                       const publish_result& result) {
    std::visit(common::overloaded{[&](const change_decided& decided) {
                                      const config::change_outcome outcome{change.change_id, decided.at,
                                                                           change.author, decided.result};
                                      const bool accepted =
                                          std::holds_alternative<config::accepted>(decided.result);
                                      respond_json(exchange, accepted ? 200 : 409, codec::to_json(outcome));
                                  },
                                  [&](const change_not_appended& refused) {
                                      respond_not_run(exchange, 503, "platform_unreachable", refused.detail);
                                  },
                                  [&](const change_unknown& lost) {
                                      json body = error_json("unknown", "platform_no_answer", lost.detail);
                                      body["change_id"] = change.change_id;
                                      respond_error(exchange, 503, "unknown", body);
                                  }},
               result);
}

} // namespace boragehollow::daemon
