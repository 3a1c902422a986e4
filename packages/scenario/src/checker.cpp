#include "boragehollow/scenario/checker.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <string_view>
#include <utility>

namespace boragehollow::scenario {

namespace {

using namespace std::chrono_literals;

/// Guarantee G7: time after which a leaving target receives no new work.
constexpr std::chrono::seconds departure_limit = 3s;

constexpr std::uint16_t digest_differs_event = 1305;

bool is_idempotent(std::string_view method) {
    static constexpr std::array<std::string_view, 5> idempotent{"GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
    return std::find(idempotent.begin(), idempotent.end(), method) != idempotent.end();
}

/// Targets that began each id, one element for each time.
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

std::string describe(const call_answer& answer) {
    return answer.method + " " + answer.id + " via " + answer.via;
}

void check_outcomes(const observations& seen, const runs_by_id& runs, std::vector<violation>& found) {
    const bool all_complete = std::all_of(seen.ledgers.begin(), seen.ledgers.end(),
                                          [](const ledger& each) { return each.complete; });
    for (const call_answer& answer : seen.answers) {
        const auto ran = runs.find(answer.id);
        if (answer.outcome == call_outcome::not_run && ran != runs.end()) {
            found.push_back({"G5", describe(answer) + " was answered not_run (" + answer.reason +
                                       ") but ran on " + joined(ran->second)});
        }
        // A target that refuses a request itself does not begin it.
        if (answer.outcome != call_outcome::answered || answer.status >= 400) {
            continue;
        }
        if (answer.returned_id != answer.id) {
            found.push_back({"G4", describe(answer) + " got the response to '" + answer.returned_id + "'"});
        }
        if (!answer.body_matches) {
            found.push_back({"G4", describe(answer) + " got a body that the target did not send"});
        }
        if (all_complete && ran == runs.end()) {
            found.push_back({"G4", describe(answer) + " was answered but stands in no ledger"});
        }
    }
}

void check_at_most_once(const observations& seen, const runs_by_id& runs, std::vector<violation>& found) {
    std::map<std::string, std::string> methods;
    for (const ledger& each : seen.ledgers) {
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

/// Calls that share an idempotency key run once between them.
void check_keys(const observations& seen, const runs_by_id& runs, std::vector<violation>& found) {
    std::map<std::string, std::vector<std::string>> targets_by_key;
    for (const call_answer& answer : seen.answers) {
        const auto ran = runs.find(answer.id);
        if (answer.idempotency_key.empty() || ran == runs.end()) {
            continue;
        }
        auto& targets = targets_by_key[answer.idempotency_key];
        targets.insert(targets.end(), ran->second.begin(), ran->second.end());
    }
    for (const auto& [key, targets] : targets_by_key) {
        if (targets.size() > 1) {
            found.push_back({"G6", "calls with the key " + key + " ran " + std::to_string(targets.size()) +
                                       " times: on " + joined(targets)});
        }
    }
}

void check_versions(const observations& seen, std::vector<violation>& found) {
    std::map<std::string, std::uint64_t> highest;
    std::map<std::uint64_t, std::pair<std::string, std::string>> digests;
    for (const daemon_sample& sample : seen.samples) {
        // A daemon that does not serve yet may still be loading its configuration.
        if (!sample.ready) {
            continue;
        }
        std::uint64_t& last = highest[sample.daemon];
        if (sample.version < last) {
            found.push_back({"G1", sample.daemon + " served version " + std::to_string(sample.version) +
                                       " after version " + std::to_string(last)});
        }
        last = std::max(last, sample.version);
        const auto [first, added] =
            digests.try_emplace(sample.version, std::pair{sample.digest, sample.daemon});
        if (!added && first->second.first != sample.digest) {
            found.push_back({"G3", sample.daemon + " has another configuration at version " +
                                       std::to_string(sample.version) + " than " + first->second.second});
        }
    }
    for (const telemetry::timeline_event& event : seen.timeline) {
        if (event.number == digest_differs_event) {
            found.push_back({"G3", event.host + " reports a digest that differs from its peer's (" +
                                       telemetry::event_code(event.number) + ")"});
        }
    }
}

void check_departures(const observations& seen, std::vector<violation>& found) {
    for (const departure& leaving : seen.departures) {
        for (const ledger& each : seen.ledgers) {
            if (each.target != leaving.target) {
                continue;
            }
            for (const ledger_entry& entry : each.entries) {
                const bool late = entry.begun > leaving.since + departure_limit;
                if (!late || (leaving.back && entry.begun >= *leaving.back)) {
                    continue;
                }
                const auto delay =
                    std::chrono::duration_cast<std::chrono::milliseconds>(entry.begun - leaving.since);
                found.push_back({"G7", leaving.target + " received " + entry.id + " " +
                                           std::to_string(delay.count()) + " ms after it began to leave"});
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

std::vector<violation> check_promises(const observations& seen) {
    const runs_by_id runs = collect_runs(seen.ledgers);
    std::vector<violation> found;
    check_outcomes(seen, runs, found);
    check_at_most_once(seen, runs, found);
    check_keys(seen, runs, found);
    check_versions(seen, found);
    check_departures(seen, found);
    return found;
}

} // namespace boragehollow::scenario
