#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/config/config_snapshot.hpp"
#include "boragehollow/daemon/target_frontend.hpp"
#include "boragehollow/daemon/watch_duty.hpp"
#include "boragehollow/telemetry/timeline_buffer.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// What the operators' front asks of the rest of the daemon.
namespace boragehollow::daemon {

/// The record is in the log, and this daemon has judged it.
struct change_decided {
    common::revision at;
    config::verdict result;
};

/// The record is not in the log.
struct change_not_appended {
    std::string detail;
};

/// The record may be in the log. Sending the same change id again is safe.
struct change_unknown {
    std::string detail;
};

using publish_result = std::variant<change_decided, change_not_appended, change_unknown>;

struct domain_progress {
    std::string failure_domain;
    bool answered = false;
    std::size_t members = 0;
    std::size_t in_force = 0;
};

/// On how many daemons a version is in force.
struct mesh_progress {
    common::revision version;
    std::vector<domain_progress> domains;

    /// Every daemon of every domain, and each domain answered.
    bool everywhere() const;
    std::size_t members() const;
    std::size_t in_force() const;
};

struct host_timeline {
    std::string host;
    bool answered = false;
    telemetry::timeline_page page;
};

struct daemon_status {
    std::string host;
    std::string failure_domain;
    bool ready = false;
    bool stopping = false;
    bool log_reader = false;
    bool compactor = false;
    std::size_t alive = 0;
    std::size_t suspect = 0;
    std::size_t dead = 0;
    std::optional<announcement> target;
};

struct operator_callbacks {
    std::function<publish_result(const config::change&)> publish;
    std::function<std::shared_ptr<const config::config_snapshot>()> snapshot;
    std::function<mesh_progress(common::revision)> progress;
    std::function<std::vector<host_timeline>(std::optional<common::hybrid_time> since, std::size_t limit,
                                             bool whole_mesh)>
        timeline;
    std::function<daemon_status()> status;
    std::function<std::string()> metrics;
    std::function<bool(open_watch)> watch;
    /// Empty unless the settings allow fault injection.
    std::function<void(std::set<common::endpoint>)> block_links;
};

} // namespace boragehollow::daemon
