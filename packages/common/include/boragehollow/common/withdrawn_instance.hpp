#pragma once

#include <cstdint>
#include <string>

namespace boragehollow::common {

/// An incarnation of a target that must not receive new work again, since its drain or its end was
/// acknowledged.
struct withdrawn_instance {
    std::string id;
    std::uint64_t incarnation = 0;
    /// The target departed before this daemon received its incarnation.
    bool incarnation_unknown = false;
    bool ended = false; ///< False while the incarnation drains.

    bool operator==(const withdrawn_instance&) const = default;
};

} // namespace boragehollow::common
