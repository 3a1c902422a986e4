#include "boragehollow/config/versioned_config.hpp"

#include <set>
#include <utility>

namespace boragehollow::config {

namespace {

std::string describe(const resource& value, const field_error& error) {
    return key_of(value).name + "." + error.field + " " + error.detail;
}

/// Erases the resources that the new state does not contain.
void erase_others(config_snapshot& snapshot, const std::vector<resource>& resources) {
    std::set<resource_key> kept;
    for (const resource& value : resources) {
        kept.insert(key_of(value));
    }
    if (snapshot.resources.size() == kept.size()) {
        return;
    }
    const resource_map before = snapshot.resources;
    for (const auto& [key, stored] : before) {
        if (!kept.contains(key)) {
            snapshot.resources = snapshot.resources.erase(key);
        }
    }
}

} // namespace

tl::expected<active_config, std::string> activate_config(const versioned_config& state,
                                                         const config_snapshot* previous) {
    std::shared_ptr<const std::vector<client_account>> accounts;
    if (state.accounts) {
        if (std::string error = find_account_error(*state.accounts); !error.empty()) {
            return tl::unexpected(std::move(error));
        }
        accounts = std::make_shared<const std::vector<client_account>>(*state.accounts);
    }
    auto snapshot = std::make_shared<config_snapshot>();
    snapshot->version = state.version;
    if (previous != nullptr) {
        snapshot->resources = previous->resources;
    }
    std::vector<resource> resources(state.services.begin(), state.services.end());
    resources.insert(resources.end(), state.routes.begin(), state.routes.end());
    for (const resource& value : resources) {
        const resource_key key = key_of(value);
        const stored_resource* known = snapshot->find(key);
        if (known != nullptr && known->value == value) {
            continue;
        }
        const std::vector<field_error> errors = validate(value, name_source::platform);
        if (!errors.empty()) {
            return tl::unexpected(describe(value, errors.front()));
        }
        snapshot->resources = snapshot->resources.insert(key, {value, state.version});
    }
    erase_others(*snapshot, resources);
    for (const resource& value : resources) {
        for (const std::string& service : referenced_services(value)) {
            if (!snapshot->has_service(service)) {
                return tl::unexpected(key_of(value).name + " references the undefined service " + service);
            }
        }
    }
    return active_config{std::move(snapshot), state.limits, std::move(accounts)};
}

} // namespace boragehollow::config
