#pragma once

#include "boragehollow/membership/datagram.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace boragehollow::membership {

/// Recognizes reports of reads that are already known. A report that is passed on several times would look a
/// bit younger with each transfer, since nobody knows how long a datagram was under way.
class log_read_filter {
public:
    /// Returns true if this read of `reader` is later than the last accepted one, or if it is the first one
    /// of another process.
    bool accept(const std::string& reader, const log_read& read);

private:
    struct known_read {
        std::uint64_t process = 0;
        std::uint64_t sequence = 0;
    };

    std::map<std::string, known_read> m_last; ///< By reader.
};

} // namespace boragehollow::membership
