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

/// Reads the status of every active daemon that the names refer to, and returns the first reason that
/// `unmet_reason_of` gives. Stopped and paused daemons are skipped, but a name without an active daemon is a
/// failure.
template <class Predicate>
std::string expectation_check::for_each_daemon(const name_list& names, const Predicate& unmet_reason_of) {
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

std::string expectation_check::operator()(const in_force_expectation& each) {
    return for_each_daemon(each.names, [&](const daemon_sample& sample) -> std::string {
        if (sample.version >= m_latest_version) {
            return "";
        }
        return sample.daemon + " is at version " + number(sample.version) + " of " + number(m_latest_version);
    });
}

std::string expectation_check::operator()(const version_expectation& each) {
    const std::uint64_t bound = each.number.value_or(m_latest_version);
    return for_each_daemon({each.name}, [&](const daemon_sample& sample) -> std::string {
        if (each.at_least ? sample.version >= bound : sample.version < bound) {
            return "";
        }
        return sample.daemon + " is at version " + number(sample.version) +
               (each.at_least ? ", not at least " : ", not below ") + number(bound);
    });
}

std::string expectation_check::operator()(const same_digest_expectation& each) {
    std::optional<daemon_sample> first;
    return for_each_daemon(each.names, [&](const daemon_sample& sample) -> std::string {
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

std::string expectation_check::operator()(const members_expectation& each) {
    return for_each_daemon(each.names, [&](const daemon_sample& sample) -> std::string {
        if (sample.members_alive == each.alive) {
            return "";
        }
        return sample.daemon + " knows " + number(sample.members_alive) + " members alive, not " +
               number(each.alive);
    });
}

std::string expectation_check::operator()(const ready_expectation& each) {
    for (const std::string& name : each.names) {
        const auto daemons = m_mesh.active(name);
        if (daemons.empty()) {
            return "no daemon of '" + name + "' is running";
        }
        for (const daemon_endpoints* daemon : daemons) {
            if (control_api::healthy(daemon->operators, health_timeout) != each.ready) {
                return daemon->name + (each.ready ? " is not ready" : " is ready");
            }
        }
    }
    return "";
}

std::string expectation_check::operator()(const answered_expectation& each) {
    const auto daemons = m_mesh.active(each.plan.via == "any" ? "all" : each.plan.via);
    if (daemons.empty()) {
        return "no daemon of '" + each.plan.via + "' is running";
    }
    const daemon_endpoints& daemon = *daemons[m_random.index(daemons.size())];
    const std::string id = m_random.identifier();
    call_result result = perform_call(each.plan, daemon.callers, id, m_stop);
    result.via = daemon.name;
    std::string reason = difference(result, each.expected);
    const std::string workload = "probe " + id;
    m_recorder.workload_issued(workload, 1);
    m_recorder.add_result(workload, std::move(result));
    return reason.empty() ? reason : "via " + daemon.name + ": " + reason;
}

std::string expectation_check::operator()(const background_expectation& each) {
    const workload_progress progress = m_recorder.progress(each.name);
    if (!progress.finished()) {
        return "call '" + each.name + "' has no result yet";
    }
    return difference(progress.results.front(), each.expected);
}

std::string expectation_check::operator()(const load_expectation& each) {
    const workload_progress progress = m_recorder.progress(each.name);
    if (!progress.finished()) {
        return "load '" + each.name + "' is not finished: " + number(progress.results.size()) + " results";
    }
    const auto answered = static_cast<std::size_t>(
        std::count_if(progress.results.begin(), progress.results.end(), [](const call_result& result) {
            return result.outcome == call_outcome::answered && result.status < 400;
        }));
    if (progress.results.empty() || answered * 100 < progress.results.size() * each.min_percent) {
        return number(answered) + " of " + number(progress.results.size()) +
               " calls were answered, expected " + number(each.min_percent) + "%";
    }
    return "";
}

std::string expectation_check::operator()(const exited_expectation& each) {
    for (const std::string& name : m_mesh.expand(each.names)) {
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

std::string expectation_check::operator()(const quiet_expectation& each) {
    std::size_t entries = 0;
    for (const ledger& read : m_mesh.ledgers()) {
        if (read.target != each.target) {
            continue;
        }
        if (!read.complete) {
            return "the ledger of " + each.target + " cannot be read";
        }
        entries += read.entries.size();
    }
    if (!m_quiet_entries) {
        m_quiet_entries = entries;
    }
    if (entries > *m_quiet_entries) {
        return each.target + " started " + number(entries - *m_quiet_entries) + " requests";
    }
    return "";
}

std::string expectation_check::operator()(const event_expectation& each) {
    const auto merged = telemetry::merge_timelines(m_mesh.timelines());
    for (const std::string& name : m_mesh.expand(each.names)) {
        const bool seen =
            std::any_of(merged.begin(), merged.end(), [&](const telemetry::timeline_event& event) {
                return event.number == each.number && event.host == name;
            });
        if (!seen) {
            return "no " + telemetry::event_code(each.number) + " on " + name;
        }
    }
    return "";
}

} // namespace boragehollow::scenario
