#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::common {

/// Hash with the same result on every host, so that daemons reach the same choice without communication.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// Weight of `candidate` for `key` in rendezvous hashing; the candidate with the highest weight is chosen
/// first.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);

/// The `count` candidates with the highest weights for `key`, in descending order; all of them when there are
/// fewer.
std::vector<std::string> rendezvous_choices(std::string_view key, const std::vector<std::string>& candidates,
                                            std::size_t count);

} // namespace boragehollow::common
