#pragma once

#include <chrono>
#include <string>

namespace boragehollow::streams {

enum class log_error_kind {
    unreachable,   ///< The connection failed before anything was sent.
    refused,       ///< The service answered that it did not carry out the request.
    response_lost, ///< The request was sent, and no complete answer came in time.
    malformed,     ///< The answer could not be read.
};

struct log_error {
    log_error_kind kind = log_error_kind::unreachable;
    std::string detail;
    std::chrono::milliseconds retry_after{0}; ///< Asked for by the service, or 0.
};

/// After an append: false when the record is certainly not in the stream.
inline bool may_have_appended(const log_error& error) {
    return error.kind == log_error_kind::response_lost || error.kind == log_error_kind::malformed;
}

} // namespace boragehollow::streams
