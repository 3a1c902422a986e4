#pragma once

#include "pipeline_components.hpp"

/// Conversions of settings, and of values between libraries, for the pipelines.
namespace boragehollow::daemon {

/// Client of the platform log. Without an endpoint in the settings it uses a log in memory, for a daemon that
/// runs alone.
streams::log_client make_log_client(const pipeline::components& daemon);

/// Converts the members and their roles to the view of the spreading engine.
spreading::peer_view peer_view_of(const mesh_view& mesh, const settings::baseline_settings& baseline);

spreading::spreading_settings spreading_settings_of(const settings::daemon_settings& settings);
membership::membership_settings membership_settings_of(const settings::daemon_settings& settings);
admission::target_state admission_state(membership::target_state state);

/// Entry of this daemon in the member table.
membership::member local_member(const settings::daemon_settings& settings, common::endpoint gossip,
                                common::endpoint peer);

} // namespace boragehollow::daemon
