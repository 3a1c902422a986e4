#pragma once

#include <string>

namespace boragehollow::transport {

enum class operation { read_address, create_socket, bind, send, receive, wait };

/// A failed system call; `code` is its errno.
struct transport_error {
    operation failed = operation::create_socket;
    int code = 0;
    std::string subject; ///< The address concerned, when there is one.
};

std::string to_string(const transport_error& error);

} // namespace boragehollow::transport
