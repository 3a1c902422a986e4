#pragma once

#include "pipeline_components.hpp"

/// Translates settings and the values of one library into those of another, for the pipeline.
namespace boragehollow::daemon {

/// Client of the platform log; without an endpoint in the settings, a log in memory for a daemon on its own.
streams::log_client make_log_client(const pipeline::components& daemon);

/// Peers and roles as the spreading engine needs them.
spreading::peer_view peer_view_of(const mesh_view& mesh, const settings::baseline_settings& baseline);

spreading::spreading_settings spreading_settings_of(const settings::daemon_settings& settings);
membership::membership_settings membership_settings_of(const settings::daemon_settings& settings);
admission::target_state admission_state(membership::target_state state);

/// Entry of this daemon in the member table.
membership::member local_member(const settings::daemon_settings& settings, common::endpoint gossip,
                                common::endpoint peer);

} // namespace boragehollow::daemon
