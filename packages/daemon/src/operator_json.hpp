#pragma once

#include "boragehollow/codec/change_json.hpp"
#include "boragehollow/daemon/operator_callbacks.hpp"
#include "boragehollow/web/http_server.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::daemon {

/// Part of the status: number of daemons of each failure domain on which a version is active.
codec::json progress_json(const mesh_progress& progress);
codec::json status_json(const daemon_status& status, const config::config_snapshot* snapshot,
                        const mesh_progress& progress);
codec::json accounts_json(const accounts::accounts_summary& summary);
codec::json timeline_json(const std::vector<host_timeline>& timelines);
std::string_view state_name(const daemon_status& status);

void respond_json(web::server_exchange& exchange, int status, const codec::json& body);

/// Error response to a request that changed nothing.
void respond_not_run(web::server_exchange& exchange, int status, const std::string& reason,
                     const std::string& detail);
void respond_errors(web::server_exchange& exchange, const codec::json_errors& faults);
void respond_published(web::server_exchange& exchange, const config::change& change,
                       const publish_result& result);

} // namespace boragehollow::daemon
