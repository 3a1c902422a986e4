#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace boragehollow::common {

/// Version of the configuration: an offset in the platform's configuration stream. Offsets start at 1; 0 is
/// the empty configuration.
struct revision {
    std::uint64_t value = 0;

    auto operator<=>(const revision&) const = default;
    revision next() const { return {value + 1}; }
};

} // namespace boragehollow::common

template <>
struct std::hash<boragehollow::common::revision> {
    std::size_t operator()(boragehollow::common::revision r) const noexcept { return r.value; }
};
