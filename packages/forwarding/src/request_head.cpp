#include "boragehollow/forwarding/request_head.hpp"

#include <iterator>

namespace boragehollow::forwarding {

namespace {

/// Fields that the overhead of a call covers.
constexpr std::size_t covered_fields = 48;

/// The parser keeps each field in a node of its own, and the head is copied when the call is passed on.
constexpr std::size_t field_overhead_bytes = 160;

} // namespace

bool has_unknown_coding(const request_message& request) {
    const auto codings = request.equal_range(http::field::transfer_encoding);
    const auto count = std::distance(codings.first, codings.second);
    return count > 1 || (count == 1 && !beast::iequals(codings.first->value(), "chunked"));
}

std::size_t bytes_of_fields(const request_message& request) {
    const auto fields = static_cast<std::size_t>(std::distance(request.begin(), request.end()));
    return fields > covered_fields ? (fields - covered_fields) * field_overhead_bytes : 0;
}

} // namespace boragehollow::forwarding
