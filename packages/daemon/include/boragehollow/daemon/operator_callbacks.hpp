#pragma once

#include "boragehollow/accounts/account_usage.hpp"
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

namespace boragehollow::daemon {

/// The record is in the log and this daemon has decided its verdict.
struct change_decided {
    common::revision at;
    config::verdict result;
};

/// The record was definitely not appended to the log.
struct change_not_appended {
    std::string detail;
};

/// The record may have been appended to the log. Sending the change again with the same id is safe.
struct change_unknown {
    std::string detail;
};

using publish_result = std::variant<change_decided, change_not_appended, change_unknown>;

struct domain_progress {
    std::string failure_domain;
    bool replied = false;    ///< False when no log reader of the domain replied.
    std::size_t members = 0; ///< Live daemons of the domain.
    std::size_t at_revision =
        0; ///< Those on which the version, or a later one, is active; 0 without a reply.
};

/// Number of daemons on which a version is active, by failure domain.
struct mesh_progress {
    common::revision version;
    std::vector<domain_progress> domains;

    /// True when every failure domain replied and the version is active on all of its daemons.
    bool active_everywhere() const;
    std::size_t members() const;
    std::size_t at_revision() const;
};

struct host_timeline {
    std::string host;
    bool replied = false;
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

/// Operations and queries that the operator frontend needs from the rest of the daemon.
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
    /// Unset where the configuration has no accounts. Empty when the daemon does not reply in time.
    std::function<std::optional<accounts::accounts_summary>()> accounts;
    /// Unset unless `testing.allow_fault_injection` is true.
    std::function<void(std::set<common::endpoint>)> block_links;
};

} // namespace boragehollow::daemon
