#include "boragehollow/transport/transport_error.hpp"

#include <system_error>

namespace boragehollow::transport {

namespace {

const char* name_of(operation failed) {
    switch (failed) {
    case operation::parse_address:
        return "parse address";
    case operation::create_socket:
        return "create socket";
    case operation::bind:
        return "bind";
    case operation::send:
        return "send";
    case operation::receive:
        return "receive";
    case operation::wait:
        return "wait";
    }
    return "unknown operation";
}

} // namespace

std::string to_string(const transport_error& error) {
    std::string text = name_of(error.failed);
    if (!error.subject.empty()) {
        text += " " + error.subject;
    }
    return text + ": " + std::generic_category().message(error.code);
}

} // namespace boragehollow::transport
