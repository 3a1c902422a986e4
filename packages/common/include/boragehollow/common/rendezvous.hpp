#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::common {

/// Hash that is the same on every host, so that daemons agree without talking to each other.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// Weight of `candidate` for `key` in rendezvous hashing; the highest weight is the first choice.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);

/// The `count` first choices of `key` among `candidates`, best first.
std::vector<std::string> rendezvous_choices(std::string_view key, const std::vector<std::string>& candidates,
                                            std::size_t count);

} // namespace boragehollow::common
