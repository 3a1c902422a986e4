#pragma once

#include "boragehollow/codec/change_json.hpp"
#include "boragehollow/daemon/operator_services.hpp"
#include "boragehollow/web/http_server.hpp"

#include <string>

namespace boragehollow::daemon {

codec::json progress_json(const mesh_progress& progress);
codec::json status_json(const daemon_status& status, const config::config_snapshot* snapshot);
codec::json timeline_json(const std::vector<host_timeline>& timelines);

void respond_json(web::server_exchange& exchange, int status, const codec::json& body);
void respond_error(web::server_exchange& exchange, int status, const std::string& error, const std::string& detail);
void respond_faults(web::server_exchange& exchange, const codec::json_faults& faults);
void respond_published(web::server_exchange& exchange, const config::change& change, const publish_result& result);

} // namespace boragehollow::daemon
