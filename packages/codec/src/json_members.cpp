#include "boragehollow/codec/json_members.hpp"

#include <optional>
#include <utility>

namespace boragehollow::codec {

namespace {

constexpr std::string_view whitespace = " \t\r\n";

tl::unexpected<json_error> syntax_error(std::string detail) {
    return tl::unexpected(json_error{json_error_kind::syntax, "", std::move(detail)});
}

/// Reads tokens of one object from left to right.
class member_scanner {
public:
    explicit member_scanner(std::string_view text) : m_text(text) { skip_whitespace(); }

    bool at_end() const { return m_position == m_text.size(); }

    /// Consumes `expected` and the whitespace behind it, if it comes next.
    bool take(char expected) {
        if (at_end() || m_text[m_position] != expected) {
            return false;
        }
        ++m_position;
        skip_whitespace();
        return true;
    }

    std::optional<std::string_view> take_string() {
        const std::size_t begin = m_position;
        if (at_end() || m_text[begin] != '"' || !skip_string()) {
            return std::nullopt;
        }
        const std::string_view text = m_text.substr(begin, m_position - begin);
        skip_whitespace();
        return text;
    }

    /// Takes a value up to the comma or bracket that ends it.
    std::optional<std::string_view> take_value() {
        const std::size_t begin = m_position;
        std::size_t depth = 0;
        while (!at_end()) {
            const char current = m_text[m_position];
            if (current == '"') {
                if (!skip_string()) {
                    return std::nullopt;
                }
                continue;
            }
            const bool closes = current == '}' || current == ']';
            if (depth == 0 && (closes || current == ',')) {
                break;
            }
            depth += current == '{' || current == '[' ? 1 : 0;
            depth -= closes ? 1 : 0;
            ++m_position;
        }
        const std::string_view value = m_text.substr(begin, m_position - begin);
        const std::size_t last = value.find_last_not_of(whitespace);
        return last == std::string_view::npos ? std::nullopt : std::optional(value.substr(0, last + 1));
    }

private:
    bool skip_string() {
        ++m_position;
        while (!at_end() && m_text[m_position] != '"') {
            m_position += m_text[m_position] == '\\' ? 2 : 1;
            if (m_position > m_text.size()) {
                m_position = m_text.size();
            }
        }
        if (at_end()) {
            return false;
        }
        ++m_position;
        return true;
    }

    void skip_whitespace() {
        const std::size_t next = m_text.find_first_not_of(whitespace, m_position);
        m_position = next == std::string_view::npos ? m_text.size() : next;
    }

    std::string_view m_text;
    std::size_t m_position = 0;
};

} // namespace

tl::expected<std::vector<json_member>, json_error> split_object(std::string_view text) {
    member_scanner scanner(text);
    if (!scanner.take('{')) {
        return syntax_error("the text is not a JSON object");
    }
    std::vector<json_member> members;
    bool closed = scanner.take('}');
    while (!closed) {
        const auto name = scanner.take_string();
        if (!name || !scanner.take(':')) {
            return syntax_error("a member of an object has no name");
        }
        const auto value = scanner.take_value();
        if (!value) {
            return syntax_error("a member of an object has no value");
        }
        members.push_back({*name, *value});
        closed = scanner.take('}');
        if (!closed && !scanner.take(',')) {
            return syntax_error("an object is not closed");
        }
    }
    if (!scanner.at_end()) {
        return syntax_error("text follows the object");
    }
    return members;
}

tl::expected<std::string, json_error> parse_name(const json_member& member) {
    auto value = parse_bounded_json(member.name);
    if (!value) {
        return tl::unexpected(value.error());
    }
    return value->get<std::string>();
}

} // namespace boragehollow::codec
