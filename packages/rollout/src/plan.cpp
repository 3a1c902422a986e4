#include "boragehollow/rollout/plan.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace boragehollow::rollout {

namespace {

constexpr std::array stage_names{
    std::pair{stage::observing, std::string_view("observing")},
    std::pair{stage::ramping, std::string_view("ramping")},
    std::pair{stage::completing, std::string_view("completing")},
    std::pair{stage::rolling_back, std::string_view("rolling_back")},
    std::pair{stage::rolled_back, std::string_view("rolled_back")},
    std::pair{stage::completed, std::string_view("completed")},
};

} // namespace

std::string_view to_string(stage value) {
    return std::ranges::find(stage_names, value, [](const auto& pair) { return pair.first; })->second;
}

std::optional<stage> parse_stage(std::string_view name) {
    const auto found = std::ranges::find(stage_names, name, [](const auto& pair) { return pair.second; });
    return found == stage_names.end() ? std::nullopt : std::optional(found->first);
}

version_use use_of(const plan& current, std::string_view version) {
    if (version != current.version) {
        const bool withheld = current.withheld.contains(std::string(version));
        const bool replaced =
            current.position.current == stage::completing || current.position.current == stage::completed;
        return withheld || replaced ? version_use::unused : version_use::in_use;
    }
    switch (current.position.current) {
    case stage::observing:
        return version_use::canary;
    case stage::ramping:
    case stage::completing:
    case stage::completed:
        return version_use::in_use;
    case stage::rolling_back:
    case stage::rolled_back:
        return version_use::unused;
    }
    return version_use::unused;
}

} // namespace boragehollow::rollout
