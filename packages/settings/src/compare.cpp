#include "boragehollow/settings/compare.hpp"

#include "boragehollow/common/overloaded.hpp"
#include "entries.hpp"

namespace boragehollow::settings {

std::vector<std::string_view> changed_keys(const daemon_settings& before, const daemon_settings& after) {
    // The accessors of the entries take no constant settings.
    daemon_settings left = before;
    daemon_settings right = after;
    const auto differs = common::overloaded{
        [&](const choice_entry& kind) { return kind.get(left) != kind.get(right); },
        [&](const auto& kind) { return kind.field(left) != kind.field(right); },
    };
    std::vector<std::string_view> keys;
    for (const entry& each : entries()) {
        if (std::visit(differs, each.kind)) {
            keys.push_back(each.key);
        }
    }
    return keys;
}

} // namespace boragehollow::settings
