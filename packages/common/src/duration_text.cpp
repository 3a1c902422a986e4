#include "boragehollow/common/duration_text.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>

namespace boragehollow::common {

namespace {

struct unit {
    std::string_view suffix;
    std::chrono::milliseconds length;
};

using namespace std::chrono_literals;

/// Largest unit first, so that format_duration produces the shortest text.
constexpr std::array<unit, 4> units{{{"h", 1h}, {"m", 1min}, {"s", 1s}, {"ms", 1ms}}};

constexpr std::string_view digits = "0123456789";

constexpr std::string_view expected_format =
    "must be a number with a unit (ms, s, m or h), such as \"250ms\" or \"2.5s\"";

/// Value of a number of units of this length. Exact for whole numbers of any size; a fraction is rounded to
/// the nearest millisecond.
std::optional<std::chrono::milliseconds> to_milliseconds(std::string_view number,
                                                         std::chrono::milliseconds length) {
    const char* const end = number.data() + number.size();
    std::int64_t whole = 0;
    const auto parsed = std::from_chars(number.data(), end, whole);
    if (parsed.ec == std::errc() && parsed.ptr == end) {
        const bool fits = whole <= std::numeric_limits<std::int64_t>::max() / length.count();
        return fits ? std::optional(whole * length) : std::nullopt;
    }
    double fractional = 0;
    std::from_chars(number.data(), end, fractional);
    const double milliseconds = fractional * static_cast<double>(length.count());
    constexpr auto max = static_cast<double>(std::numeric_limits<std::int64_t>::max());
    return milliseconds < max ? std::optional(std::chrono::milliseconds(std::llround(milliseconds)))
                              : std::nullopt;
}

/// Number of characters of a decimal number without a sign, as `2` or `2.5`, at the start of the text; 0 if
/// there is none.
std::size_t number_length(std::string_view text) {
    const std::size_t whole = std::min(text.find_first_not_of(digits), text.size());
    if (whole == 0 || text.substr(whole, 1) != ".") {
        return whole;
    }
    const std::size_t end = std::min(text.find_first_not_of(digits, whole + 1), text.size());
    return end > whole + 1 ? end : whole;
}

} // namespace

tl::expected<std::chrono::milliseconds, std::string> parse_duration(std::string_view text) {
    const std::string_view number = text.substr(0, number_length(text));
    const std::string_view suffix = text.substr(number.size());
    const auto found = std::ranges::find(units, suffix, &unit::suffix);
    if (number.empty() || found == units.end()) {
        return tl::unexpected(std::string(expected_format));
    }
    const auto value = to_milliseconds(number, found->length);
    if (!value) {
        return tl::unexpected(std::string("is too long"));
    }
    return *value;
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
