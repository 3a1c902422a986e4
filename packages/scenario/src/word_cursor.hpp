#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragehollow::scenario {

/// Splits a statement into words at blanks; a word in double quotes may hold blanks.
std::vector<std::string> split_words(std::string_view text);

/// Reads the words of one statement from left to right. After the first fault every further read gives an
/// empty value, so that callers check for a fault once, at the end.
class word_cursor {
public:
    explicit word_cursor(std::vector<std::string> words) : m_words(std::move(words)) {}

    bool at_end() const { return m_fault || m_next >= m_words.size(); }

    /// Takes the next word if it is `word`.
    bool accept(std::string_view word);

    std::string word(std::string_view meaning);

    /// One word out of a list.
    std::string choice(std::string_view meaning, const std::vector<std::string_view>& choices);
    void require(std::string_view word);

    std::uint64_t number(std::string_view meaning);

    /// Number of bytes with an optional unit KB or MB.
    std::size_t size(std::string_view meaning);
    std::chrono::milliseconds duration(std::string_view meaning);
    std::optional<std::chrono::milliseconds> optional_duration();

    /// All words up to one of the given words or the end; at least one.
    std::vector<std::string> names(std::string_view meaning, const std::vector<std::string_view>& until = {});

    /// The words that are left, joined by blanks.
    std::string rest();

    void fail(std::string message);
    const std::optional<std::string>& fault() const { return m_fault; }

    /// Reports words that nothing has read.
    void finish();

private:
    std::vector<std::string> m_words;
    std::size_t m_next = 0;
    std::optional<std::string> m_fault;
};

} // namespace boragehollow::scenario
