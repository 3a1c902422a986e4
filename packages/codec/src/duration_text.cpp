#include "boragehollow/codec/duration_text.hpp"

#include <array>
#include <charconv>
#include <utility>

namespace boragehollow::codec {

namespace {

using std::chrono::milliseconds;

// Largest first, as formatting takes the first unit that divides the value.
constexpr std::array<std::pair<std::string_view, milliseconds>, 4> units{{
    {"h", std::chrono::hours(1)},
    {"m", std::chrono::minutes(1)},
    {"s", std::chrono::seconds(1)},
    {"ms", milliseconds(1)},
}};

} // namespace

std::optional<milliseconds> parse_duration(std::string_view text) {
    milliseconds::rep number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || number < 0) {
        return std::nullopt;
    }
    const std::string_view suffix = text.substr(static_cast<std::size_t>(end - text.data()));
    for (const auto& [name, unit] : units) {
        if (name != suffix) {
            continue;
        }
        if (number > milliseconds::max() / unit) {
            return std::nullopt;
        }
        return number * unit;
    }
    return std::nullopt;
}

std::string format_duration(milliseconds value) {
    for (const auto& [name, unit] : units) {
        if (value.count() != 0 && value % unit == milliseconds::zero()) {
            return std::to_string(value / unit) + std::string(name);
        }
    }
    return "0ms";
}

} // namespace boragehollow::codec
