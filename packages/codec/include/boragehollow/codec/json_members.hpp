#pragma once

#include "boragehollow/codec/json_reader.hpp"

#include <tl/expected.hpp>

#include <string_view>
#include <vector>

namespace boragehollow::codec {

/// Member of a JSON object as raw text.
struct json_member {
    std::string_view name;  ///< With its quotes and escapes.
    std::string_view value; ///< May be invalid: it has not been parsed.

    /// Name and value together, for comparison with another text of the same member.
    std::string_view text() const {
        return {name.data(), static_cast<std::size_t>(value.data() + value.size() - name.data())};
    }
};

/// Splits a JSON object into its members without building values, so that only the members that changed since
/// another version of the object have to be parsed. Checks the structure of this object only.
tl::expected<std::vector<json_member>, json_error> split_object(std::string_view text);

/// Value of a member name.
tl::expected<std::string, json_error> parse_name(const json_member& member);

} // namespace boragehollow::codec
