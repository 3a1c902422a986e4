#include "boragehollow/config/versioned_config.hpp"

#include <utility>

namespace boragehollow::config {

namespace {

std::string describe(const resource& value, const field_error& error) {
    return key_of(value).name + "." + error.field + " " + error.detail;
}

} // namespace

tl::expected<active_config, std::string> activate_config(const versioned_config& state) {
    auto snapshot = std::make_shared<config_snapshot>();
    snapshot->version = state.version;
    std::vector<resource> resources(state.services.begin(), state.services.end());
    resources.insert(resources.end(), state.routes.begin(), state.routes.end());
    for (const resource& value : resources) {
        const std::vector<field_error> errors = validate(value);
        if (!errors.empty()) {
            return tl::unexpected(describe(value, errors.front()));
        }
        snapshot->resources = snapshot->resources.insert(key_of(value), {value, state.version});
    }
    for (const resource& value : resources) {
        for (const std::string& service : referenced_services(value)) {
            if (!snapshot->has_service(service)) {
                return tl::unexpected(key_of(value).name + " references the undefined service " + service);
            }
        }
    }
    return active_config{std::move(snapshot), state.limits};
}

} // namespace boragehollow::config
