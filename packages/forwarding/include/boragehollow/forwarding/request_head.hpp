#pragma once

#include "boragehollow/forwarding/asio.hpp"

#include <cstddef>

namespace boragehollow::forwarding {

/// The parser takes a request with another coding than `chunked` for one without a body, and its body for the
/// next request on the connection.
bool has_unknown_coding(const request_message& request);

/// Memory of the fields of a head beyond those that the overhead of a call covers.
std::size_t bytes_of_fields(const request_message& request);

} // namespace boragehollow::forwarding
