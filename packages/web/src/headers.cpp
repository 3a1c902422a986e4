#include "boragehollow/web/headers.hpp"

#include <algorithm>
#include <array>

namespace boragehollow::web {

namespace {

constexpr std::array<std::string_view, 11> hop_by_hop{"connection",
                                                      "keep-alive",
                                                      "proxy-authenticate",
                                                      "proxy-authorization",
                                                      "proxy-connection",
                                                      "te",
                                                      "trailer",
                                                      "transfer-encoding",
                                                      "upgrade",
                                                      "expect",
                                                      "content-length"};

char lower(char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view trim(std::string_view text) {
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::vector<std::string_view> connection_options(const header_list& headers) {
    std::vector<std::string_view> options;
    for (const header& entry : headers) {
        if (!equal_names(entry.name, "connection")) {
            continue;
        }
        std::string_view rest = entry.value;
        while (!rest.empty()) {
            const std::size_t comma = rest.find(',');
            options.push_back(trim(rest.substr(0, comma)));
            rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
        }
    }
    return options;
}

bool contains(const auto& names, std::string_view name) {
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view known) { return equal_names(known, name); });
}

} // namespace

bool equal_names(std::string_view left, std::string_view right) {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return lower(a) == lower(b); });
}

std::optional<std::string_view> find_header(const header_list& headers, std::string_view name) {
    for (const header& entry : headers) {
        if (equal_names(entry.name, name)) {
            return entry.value;
        }
    }
    return std::nullopt;
}

header_list end_to_end_headers(const header_list& headers) {
    const std::vector<std::string_view> named = connection_options(headers);
    header_list kept;
    kept.reserve(headers.size());
    for (const header& entry : headers) {
        if (contains(hop_by_hop, entry.name) || contains(named, entry.name)) {
            continue;
        }
        kept.push_back(entry);
    }
    return kept;
}

} // namespace boragehollow::web
