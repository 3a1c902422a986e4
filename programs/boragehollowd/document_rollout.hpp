#pragma once

#include "document_pipeline_components.hpp"

#include "boragehollow/platform/document_reader.hpp"

#include <functional>
#include <optional>
#include <string>

namespace boragehollow::daemon {

/// store -> state_source -> rollout -> forwarder (plans), rollout_records -> store
/// other daemons <-> rollout (plans and reports)
void start_rollout_duties(document_pipeline::components& daemon);

/// Where the reader of the operator's topic delivers the orders; empty unless roll-outs are enabled.
std::optional<platform::order_sinks> rollout_order_sinks(document_pipeline::components& daemon);

/// Handles a control request of another daemon; false if it does not concern roll-outs. Does not block.
bool handle_rollout_request(document_pipeline::components& daemon, const std::string& path,
                            const std::string& body, const control_reply& send_reply);

} // namespace boragehollow::daemon
