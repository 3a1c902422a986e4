#include "boragehollow/scenario/checker.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <string_view>
#include <utility>

namespace boragehollow::scenario {

namespace {

using namespace std::chrono_literals;

/// Guarantee: a departing target receives no new requests after this time.
constexpr std::chrono::seconds max_departure_delay = 3s;

/// Event in which a daemon reports that its configuration digest differs from that of a peer.
constexpr std::uint16_t digest_differs_event = 1305;

bool is_idempotent(std::string_view method) {
    static constexpr std::array<std::string_view, 5> idempotent{"GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
    return std::find(idempotent.begin(), idempotent.end(), method) != idempotent.end();
}

/// Targets that executed each request id, with one element for each execution.
using runs_by_id = std::map<std::string, std::vector<std::string>, std::less<>>;

runs_by_id collect_runs(const std::vector<ledger>& ledgers) {
    runs_by_id runs;
    for (const ledger& each : ledgers) {
        for (const ledger_entry& entry : each.entries) {
            runs[entry.id].push_back(each.target);
        }
    }
    return runs;
}

std::string joined(const std::vector<std::string>& words) {
    std::string text;
    for (const std::string& word : words) {
        text += text.empty() ? "" : ", ";
        text += word;
    }
    return text;
}

std::string describe(const call_result& result) {
    return result.method + " " + result.id + " via " + result.via;
}

void check_outcomes(const observations& observed, const runs_by_id& runs, std::vector<violation>& found) {
    const bool all_complete = std::all_of(observed.ledgers.begin(), observed.ledgers.end(),
                                          [](const ledger& each) { return each.complete; });
    for (const call_result& result : observed.results) {
        const auto ran = runs.find(result.id);
        if (result.outcome == call_outcome::not_run && ran != runs.end()) {
            found.push_back({"G5", describe(result) + " was reported as not_run (" + result.reason +
                                       ") but ran on " + joined(ran->second)});
        }
        // A target that refuses a request with an error status does not execute it, so its ledger has no
        // entry.
        if (result.outcome != call_outcome::answered || result.status >= 400) {
            continue;
        }
        if (result.returned_id != result.id) {
            found.push_back({"G4", describe(result) + " got the response to '" + result.returned_id + "'"});
        }
        if (!result.body_matches) {
            found.push_back({"G4", describe(result) + " got a body that the target did not send"});
        }
        if (all_complete && ran == runs.end()) {
            found.push_back({"G4", describe(result) + " was answered but is in no ledger"});
        }
    }
}

void check_at_most_once(const observations& observed, const runs_by_id& runs, std::vector<violation>& found) {
    std::map<std::string, std::string> methods;
    for (const ledger& each : observed.ledgers) {
        for (const ledger_entry& entry : each.entries) {
            methods[entry.id] = entry.method;
        }
    }
    for (const auto& [id, targets] : runs) {
        if (targets.size() > 1 && !is_idempotent(methods[id])) {
            found.push_back({"G6", methods[id] + " " + id + " ran " + std::to_string(targets.size()) +
                                       " times: on " + joined(targets)});
        }
    }
}

/// Checks that at most one of the calls with the same idempotency key ran.
void check_keys(const observations& observed, const runs_by_id& runs, std::vector<violation>& found) {
    std::map<std::string, std::vector<std::string>> targets_by_key;
    for (const call_result& result : observed.results) {
        const auto ran = runs.find(result.id);
        if (result.idempotency_key.empty() || ran == runs.end()) {
            continue;
        }
        auto& targets = targets_by_key[result.idempotency_key];
        targets.insert(targets.end(), ran->second.begin(), ran->second.end());
    }
    for (const auto& [key, targets] : targets_by_key) {
        if (targets.size() > 1) {
            found.push_back({"G6", "calls with the key " + key + " ran " + std::to_string(targets.size()) +
                                       " times: on " + joined(targets)});
        }
    }
}

void check_versions(const observations& observed, std::vector<violation>& found) {
    std::map<std::string, std::uint64_t> last_versions;
    std::map<std::uint64_t, std::pair<std::string, std::string>> digests;
    for (const daemon_sample& sample : observed.samples) {
        // Until a daemon is ready, it may still be loading its configuration and report an older version.
        if (!sample.ready) {
            continue;
        }
        std::uint64_t& last = last_versions[sample.daemon];
        if (sample.version < last) {
            found.push_back({"G1", sample.daemon + " served version " + std::to_string(sample.version) +
                                       " after version " + std::to_string(last)});
        }
        last = std::max(last, sample.version);
        if (sample.digest.empty()) {
            continue;
        }
        const auto [first, added] =
            digests.try_emplace(sample.version, std::pair{sample.digest, sample.daemon});
        if (!added && first->second.first != sample.digest) {
            found.push_back({"G3", sample.daemon + " has a different configuration at version " +
                                       std::to_string(sample.version) + " than " + first->second.second});
        }
    }
    for (const telemetry::timeline_event& event : observed.timeline) {
        if (event.number == digest_differs_event) {
            found.push_back({"G3", event.host + " reports a digest that differs from its peer's (" +
                                       telemetry::event_code(event.number) + ")"});
        }
    }
}

void check_departures(const observations& observed, std::vector<violation>& found) {
    for (const departure& departed : observed.departures) {
        for (const ledger& each : observed.ledgers) {
            if (each.target != departed.target) {
                continue;
            }
            for (const ledger_entry& entry : each.entries) {
                const bool late = entry.started > departed.since + max_departure_delay;
                if (!late || (departed.returned && entry.started >= *departed.returned)) {
                    continue;
                }
                const auto delay =
                    std::chrono::duration_cast<std::chrono::milliseconds>(entry.started - departed.since);
                found.push_back({"G7", departed.target + " received " + entry.id + " " +
                                           std::to_string(delay.count()) + " ms after its departure began"});
            }
        }
    }
}

} // namespace

std::string_view to_string(call_outcome outcome) {
    switch (outcome) {
    case call_outcome::answered:
        return "answered";
    case call_outcome::not_run:
        return "not_run";
    case call_outcome::unknown:
        return "unknown";
    case call_outcome::broken:
        return "broken";
    }
    return "broken";
}

std::vector<std::string> repeated_ids(const std::vector<ledger>& ledgers) {
    std::vector<std::string> repeated;
    for (const auto& [id, targets] : collect_runs(ledgers)) {
        if (targets.size() > 1) {
            repeated.push_back(id);
        }
    }
    return repeated;
}

std::vector<violation> check_guarantees(const observations& observed) {
    const runs_by_id runs = collect_runs(observed.ledgers);
    std::vector<violation> found;
    check_outcomes(observed, runs, found);
    check_at_most_once(observed, runs, found);
    check_keys(observed, runs, found);
    check_versions(observed, found);
    check_departures(observed, found);
    return found;
}

} // namespace boragehollow::scenario
