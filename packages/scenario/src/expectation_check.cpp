#include "expectation_check.hpp"

#include "boragehollow/scenario/checker.hpp"
#include "caller.hpp"
#include "control_api.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::scenario {

namespace {

using namespace std::chrono_literals;

/// A daemon queries the other failure domains before it responds, and waits for those that are unreachable.
constexpr std::chrono::milliseconds status_timeout = 5s;
constexpr std::chrono::milliseconds health_timeout = 1s;

std::string number(std::uint64_t value) {
    return std::to_string(value);
}

} // namespace

/// Reads the status of every active daemon that the names select and returns the first non-empty result of
/// `unmet_reason_of`; empty if there is none. Stopped and paused daemons are skipped, but the expectation is
/// not met if a name selects no active daemon.
template <class Predicate>
std::string expectation_check::first_unmet_reason(const name_list& names, const Predicate& unmet_reason_of) {
    std::size_t checked = 0;
    for (const std::string& name : names) {
        const auto daemons = m_mesh.active(name);
        if (daemons.empty()) {
            return "no daemon of '" + name + "' is running";
        }
        for (const daemon_endpoints* daemon : daemons) {
            const auto sample = control_api::read_status(daemon->name, daemon->operators, status_timeout);
            if (!sample) {
                return daemon->name + " returned no status: " + sample.error();
            }
            ++checked;
            if (std::string reason = unmet_reason_of(*sample); !reason.empty()) {
                return reason;
            }
        }
    }
    return checked == 0 ? "no daemon was checked" : "";
}

std::string expectation_check::operator()(const in_force_expectation& condition) {
    return first_unmet_reason(condition.names, [&](const daemon_sample& sample) -> std::string {
        if (sample.version >= m_latest_version) {
            return "";
        }
        return sample.daemon + " is at version " + number(sample.version) + " of " + number(m_latest_version);
    });
}

std::string expectation_check::operator()(const version_expectation& condition) {
    const std::uint64_t bound = condition.number.value_or(m_latest_version);
    return first_unmet_reason({condition.name}, [&](const daemon_sample& sample) -> std::string {
        if (condition.at_least ? sample.version >= bound : sample.version < bound) {
            return "";
        }
        return sample.daemon + " is at version " + number(sample.version) +
               (condition.at_least ? ", not at least " : ", not below ") + number(bound);
    });
}

std::string expectation_check::operator()(const same_digest_expectation& condition) {
    std::optional<daemon_sample> first;
    return first_unmet_reason(condition.names, [&](const daemon_sample& sample) -> std::string {
        if (!first) {
            first = sample;
            return "";
        }
        if (sample.version == first->version && sample.digest == first->digest) {
            return "";
        }
        return sample.daemon + " has version " + number(sample.version) + ", digest " + sample.digest + "; " +
               first->daemon + " has version " + number(first->version) + ", digest " + first->digest;
    });
}

std::string expectation_check::operator()(const members_expectation& condition) {
    return first_unmet_reason(condition.names, [&](const daemon_sample& sample) -> std::string {
        if (sample.members_alive == condition.alive) {
            return "";
        }
        return sample.daemon + " knows " + number(sample.members_alive) + " members alive, not " +
               number(condition.alive);
    });
}

std::string expectation_check::operator()(const ready_expectation& condition) {
    for (const std::string& name : condition.names) {
        const auto daemons = m_mesh.active(name);
        if (daemons.empty()) {
            return "no daemon of '" + name + "' is running";
        }
        for (const daemon_endpoints* daemon : daemons) {
            if (control_api::healthy(daemon->operators, health_timeout) != condition.ready) {
                return daemon->name + (condition.ready ? " is not ready" : " is ready");
            }
        }
    }
    return "";
}

std::string expectation_check::operator()(const answered_expectation& condition) {
    const auto daemons = m_mesh.active(condition.plan.via == "any" ? "all" : condition.plan.via);
    if (daemons.empty()) {
        return "no daemon of '" + condition.plan.via + "' is running";
    }
    const daemon_endpoints& daemon = *daemons[m_random.index(daemons.size())];
    const std::string id = m_random.identifier();
    call_result result = perform_call(condition.plan, daemon.callers, id, m_stop);
    result.via = daemon.name;
    std::string reason = difference(result, condition.expected);
    const std::string workload = "probe " + id;
    m_recorder.workload_issued(workload, 1);
    m_recorder.add_result(workload, std::move(result));
    return reason.empty() ? reason : "via " + daemon.name + ": " + reason;
}

std::string expectation_check::operator()(const background_expectation& condition) {
    const workload_progress progress = m_recorder.progress(condition.name);
    if (!progress.finished()) {
        return "call '" + condition.name + "' has no result yet";
    }
    return difference(progress.results.front(), condition.expected);
}

std::string expectation_check::operator()(const load_expectation& condition) {
    const workload_progress progress = m_recorder.progress(condition.name);
    if (!progress.finished()) {
        return "load '" + condition.name + "' is not finished: " + number(progress.results.size()) +
               " results";
    }
    const auto answered = static_cast<std::size_t>(
        std::count_if(progress.results.begin(), progress.results.end(), [](const call_result& result) {
            return result.outcome == call_outcome::answered && result.status < 400;
        }));
    if (progress.results.empty() || answered * 100 < progress.results.size() * condition.min_percent) {
        return number(answered) + " of " + number(progress.results.size()) +
               " calls were answered, expected " + number(condition.min_percent) + "%";
    }
    return "";
}

std::string expectation_check::operator()(const exited_expectation& condition) {
    for (const std::string& name : m_mesh.expand(condition.names)) {
        if (m_mesh.is_running(name)) {
            return name + " is still running";
        }
    }
    return "";
}

std::string expectation_check::operator()(const ledger_expectation&) {
    const auto repeated = repeated_ids(m_mesh.ledgers());
    return repeated.empty() ? "" : "id " + repeated.front() + " occurs more than once in the ledgers";
}

std::string expectation_check::operator()(const quiet_expectation& condition) {
    std::size_t entries = 0;
    for (const ledger& read : m_mesh.ledgers()) {
        if (read.target != condition.target) {
            continue;
        }
        if (!read.complete) {
            return "the ledger of " + condition.target + " cannot be read";
        }
        entries += read.entries.size();
    }
    if (!m_quiet_entries) {
        m_quiet_entries = entries;
    }
    if (entries > *m_quiet_entries) {
        return condition.target + " started " + number(entries - *m_quiet_entries) + " requests";
    }
    return "";
}

std::string expectation_check::operator()(const event_expectation& condition) {
    const auto merged = telemetry::merge_timelines(m_mesh.timelines());
    for (const std::string& name : m_mesh.expand(condition.names)) {
        const bool seen =
            std::any_of(merged.begin(), merged.end(), [&](const telemetry::timeline_event& event) {
                return event.number == condition.number && event.host == name;
            });
        if (!seen) {
            return "no " + telemetry::event_code(condition.number) + " on " + name;
        }
    }
    return "";
}

} // namespace boragehollow::scenario
