#include "boragehollow/common/duration_text.hpp"

#include <array>
#include <charconv>
#include <cstdint>
#include <limits>

namespace boragehollow::common {

namespace {

struct unit {
    std::string_view suffix;
    std::chrono::milliseconds length;
};

using namespace std::chrono_literals;

/// Largest unit first, so that format_duration produces the shortest text.
constexpr std::array<unit, 4> units{{{"h", 1h}, {"m", 1min}, {"s", 1s}, {"ms", 1ms}}};

constexpr std::string_view expected_format =
    "must be a whole number with a unit (ms, s, m or h), such as \"250ms\"";

} // namespace

tl::expected<std::chrono::milliseconds, std::string> parse_duration(std::string_view text) {
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || number < 0) {
        return tl::unexpected(std::string(expected_format));
    }
    const std::string_view suffix = text.substr(static_cast<std::size_t>(end - text.data()));
    for (const unit& candidate : units) {
        if (candidate.suffix != suffix) {
            continue;
        }
        if (number > std::numeric_limits<std::int64_t>::max() / candidate.length.count()) {
            return tl::unexpected(std::string("is too long"));
        }
        return number * candidate.length;
    }
    return tl::unexpected(std::string(expected_format));
}

std::string format_duration(std::chrono::milliseconds value) {
    for (const unit& candidate : units) {
        if (value.count() != 0 && value % candidate.length != std::chrono::milliseconds(0)) {
            continue;
        }
        if (value.count() == 0 && candidate.length != std::chrono::milliseconds(1)) {
            continue;
        }
        return std::to_string(value / candidate.length) + std::string(candidate.suffix);
    }
    return std::to_string(value.count()) + "ms";
}

} // namespace boragehollow::common
