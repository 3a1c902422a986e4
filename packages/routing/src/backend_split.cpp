#include "boragehollow/routing/backend_split.hpp"

#include <cstdint>

namespace boragehollow::routing {

const std::string& choose_backend(const config::route& route, common::random_source& random) {
    std::uint64_t total = 0;
    for (const config::weighted_backend& backend : route.backends) {
        total += backend.weight;
    }
    if (total == 0) {
        return route.service;
    }
    std::uint64_t point = random.index(total);
    for (const config::weighted_backend& backend : route.backends) {
        if (point < backend.weight) {
            return backend.service;
        }
        point -= backend.weight;
    }
    return route.service;
}

} // namespace boragehollow::routing
