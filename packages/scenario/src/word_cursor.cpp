#include "word_cursor.hpp"

#include "boragehollow/common/duration_text.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace boragehollow::scenario {

namespace {

constexpr std::string_view blanks = " \t\r";

std::optional<std::uint64_t> read_number(std::string_view text) {
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string quoted(std::string_view text) {
    return "'" + std::string(text) + "'";
}

} // namespace

std::vector<std::string> split_words(std::string_view text) {
    std::vector<std::string> words;
    while (true) {
        const std::size_t start = text.find_first_not_of(blanks);
        if (start == std::string_view::npos) {
            return words;
        }
        text.remove_prefix(start);
        if (text.front() == '#') {
            return words;
        }
        if (text.front() == '"') {
            const std::size_t end = text.find('"', 1);
            words.emplace_back(text.substr(1, end == std::string_view::npos ? end : end - 1));
            text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
            continue;
        }
        const std::size_t end = std::min(text.find_first_of(blanks), text.size());
        words.emplace_back(text.substr(0, end));
        text.remove_prefix(end);
    }
}

bool word_cursor::accept(std::string_view word) {
    if (at_end() || m_words[m_next] != word) {
        return false;
    }
    ++m_next;
    return true;
}

std::string word_cursor::word(std::string_view meaning) {
    if (m_error) {
        return {};
    }
    if (m_next >= m_words.size()) {
        fail("expects " + std::string(meaning) + " at the end of the statement");
        return {};
    }
    return m_words[m_next++];
}

std::string word_cursor::choice(std::string_view meaning, const std::vector<std::string_view>& choices) {
    std::string found = word(meaning);
    if (m_error || std::find(choices.begin(), choices.end(), found) != choices.end()) {
        return found;
    }
    std::string list;
    for (const std::string_view each : choices) {
        list += list.empty() ? "" : ", ";
        list += each;
    }
    fail(quoted(found) + " is not a valid " + std::string(meaning) + "; expected one of " + list);
    return {};
}

void word_cursor::require(std::string_view expected) {
    const std::string found = word(quoted(expected));
    if (!m_error && found != expected) {
        fail("expects " + quoted(expected) + " instead of " + quoted(found));
    }
}

std::uint64_t word_cursor::number(std::string_view meaning) {
    const std::string text = word(meaning);
    const auto value = read_number(text);
    if (!m_error && !value) {
        fail(quoted(text) + " is not a number for " + std::string(meaning));
    }
    return value.value_or(0);
}

std::size_t word_cursor::size(std::string_view meaning) {
    const std::string text = word(meaning);
    std::string_view digits = text;
    std::size_t factor = 1;
    for (const auto& [suffix, bytes] : {std::pair{std::string_view("KB"), std::size_t{1024}},
                                        std::pair{std::string_view("MB"), std::size_t{1024} * 1024}}) {
        if (digits.ends_with(suffix)) {
            digits.remove_suffix(suffix.size());
            factor = bytes;
        }
    }
    const auto value = read_number(digits);
    if (!m_error && !value) {
        fail(quoted(text) + " is not a size for " + std::string(meaning));
    }
    return static_cast<std::size_t>(value.value_or(0)) * factor;
}

std::chrono::milliseconds word_cursor::duration(std::string_view meaning) {
    const std::string text = word(meaning);
    const auto value = common::parse_duration(text);
    if (!m_error && !value) {
        fail(std::string(meaning) + " " + value.error() + ", not " + quoted(text));
    }
    return value.value_or(std::chrono::milliseconds(0));
}

std::optional<std::chrono::milliseconds> word_cursor::optional_duration() {
    if (at_end()) {
        return std::nullopt;
    }
    return duration("the duration");
}

std::vector<std::string> word_cursor::names(std::string_view meaning,
                                            const std::vector<std::string_view>& until) {
    std::vector<std::string> found;
    while (!at_end() && std::find(until.begin(), until.end(), m_words[m_next]) == until.end()) {
        found.push_back(m_words[m_next++]);
    }
    if (found.empty()) {
        fail("expects " + std::string(meaning));
    }
    return found;
}

std::string word_cursor::rest() {
    std::string text;
    while (!at_end()) {
        text += text.empty() ? "" : " ";
        text += m_words[m_next++];
    }
    return text;
}

void word_cursor::fail(std::string message) {
    if (!m_error) {
        m_error = std::move(message);
    }
}

void word_cursor::finish() {
    if (!at_end()) {
        fail("unexpected word " + quoted(m_words[m_next]));
    }
}

} // namespace boragehollow::scenario
