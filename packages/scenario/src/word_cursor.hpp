#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::scenario {

/// Splits a statement into words at whitespace. A word in double quotes may contain whitespace, and a word
/// that begins with # starts a comment.
std::vector<std::string> split_words(std::string_view text);

/// Reads the words of one statement from left to right. After the first error every further read returns an
/// empty value, so that callers check for an error once, at the end.
class word_cursor {
public:
    explicit word_cursor(std::vector<std::string> words) : m_words(std::move(words)) {}

    bool at_end() const { return m_error || m_next >= m_words.size(); }

    /// Consumes the next word if it equals `word`.
    bool accept(std::string_view word);

    std::string word(std::string_view meaning);

    /// Reads a word that must be one of `choices`.
    std::string choice(std::string_view meaning, const std::vector<std::string_view>& choices);
    void require(std::string_view word);

    std::uint64_t number(std::string_view meaning);

    /// Reads a number of bytes with an optional unit KB or MB.
    std::size_t size(std::string_view meaning);
    std::chrono::milliseconds duration(std::string_view meaning);
    std::optional<std::chrono::milliseconds> optional_duration();

    /// Reads all words up to the end or one of `until`. At least one word is required.
    std::vector<std::string> names(std::string_view meaning, const std::vector<std::string_view>& until = {});

    /// Reads the remaining words, joined by spaces.
    std::string rest();

    void fail(std::string message);
    const std::optional<std::string>& error() const { return m_error; }

    /// Reports an error if unread words remain.
    void finish();

private:
    std::vector<std::string> m_words;
    std::size_t m_next = 0;
    std::optional<std::string> m_error;
};

} // namespace boragehollow::scenario
