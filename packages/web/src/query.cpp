#include "boragehollow/web/query.hpp"

#include <algorithm>
#include <charconv>

namespace boragehollow::web {

namespace {

std::vector<std::string_view> split(std::string_view text, char separator) {
    std::vector<std::string_view> parts;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const std::size_t end = std::min(text.find(separator, begin), text.size());
        if (end > begin) {
            parts.push_back(text.substr(begin, end - begin));
        }
        begin = end + 1;
    }
    return parts;
}

} // namespace

std::optional<std::string> percent_decode(std::string_view text) {
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded.push_back(text[i]);
            continue;
        }
        if (i + 2 >= text.size()) {
            return std::nullopt;
        }
        unsigned value = 0;
        const char* first = text.data() + i + 1;
        const auto [end, error] = std::from_chars(first, first + 2, value, 16);
        if (error != std::errc() || end != first + 2) {
            return std::nullopt;
        }
        decoded.push_back(static_cast<char>(value));
        i += 2;
    }
    return decoded;
}

std::string percent_encode(std::string_view text) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    std::string encoded;
    encoded.reserve(text.size());
    for (const char byte : text) {
        if (unreserved.find(byte) != std::string_view::npos) {
            encoded.push_back(byte);
            continue;
        }
        const auto value = static_cast<unsigned char>(byte);
        encoded.push_back('%');
        encoded.push_back(digits[value >> 4U]);
        encoded.push_back(digits[value & 0xFU]);
    }
    return encoded;
}

std::map<std::string, std::string> parse_query(std::string_view query) {
    std::map<std::string, std::string> parameters;
    for (const std::string_view part : split(query, '&')) {
        const std::size_t equals = part.find('=');
        const std::string_view name = part.substr(0, equals);
        const std::string_view value =
            equals == std::string_view::npos ? std::string_view{} : part.substr(equals + 1);
        const std::optional<std::string> decoded = percent_decode(value);
        if (!decoded) {
            continue;
        }
        parameters[std::string(name)] = *decoded;
    }
    return parameters;
}

std::vector<std::string> path_segments(std::string_view path) {
    std::vector<std::string> segments;
    for (const std::string_view part : split(path, '/')) {
        segments.emplace_back(part);
    }
    return segments;
}

} // namespace boragehollow::web
