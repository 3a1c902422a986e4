#pragma once

#include <string>

namespace boragehollow::transport {

enum class operation { parse_address, create_socket, bind, send, receive, wait };

/// A failed operation on a socket; `code` is the errno of the system call.
struct transport_error {
    operation failed = operation::create_socket;
    int code = 0;
    std::string subject; ///< Endpoint of the operation; empty when there is none.
};

std::string to_string(const transport_error& error);

} // namespace boragehollow::transport
