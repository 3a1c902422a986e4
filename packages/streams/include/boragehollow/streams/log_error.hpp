#pragma once

#include <chrono>
#include <string>

namespace boragehollow::streams {

enum class log_error_kind {
    unreachable,   ///< The connection failed before anything was sent.
    refused,       ///< The service responded that it did not execute the request.
    response_lost, ///< The request was sent, but no complete response arrived in time.
    malformed,     ///< The response could not be decoded.
};

struct log_error {
    log_error_kind kind = log_error_kind::unreachable;
    std::string detail;
    std::chrono::milliseconds retry_after{0}; ///< Delay requested by the service, or 0.
};

/// True if the stream may contain the record although the append failed; false if it certainly does not.
inline bool may_have_appended(const log_error& error) {
    return error.kind == log_error_kind::response_lost || error.kind == log_error_kind::malformed;
}

} // namespace boragehollow::streams
