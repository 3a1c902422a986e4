#include "boragehollow/common/rendezvous.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace boragehollow::common {

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate) {
    return stable_hash(candidate, stable_hash(key));
}

std::vector<std::string> rendezvous_choices(std::string_view key, const std::vector<std::string>& candidates,
                                            std::size_t count) {
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(candidates.size());
    for (const std::string& candidate : candidates) {
        weighted.emplace_back(rendezvous_weight(key, candidate), candidate);
    }
    const std::size_t wanted = std::min(count, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(wanted),
                      weighted.end(), std::greater<>());
    std::vector<std::string> chosen;
    chosen.reserve(wanted);
    for (std::size_t i = 0; i < wanted; ++i) {
        chosen.push_back(std::move(weighted[i].second));
    }
    return chosen;
}

} // namespace boragehollow::common
