#pragma once

namespace boragehollow::common {

inline constexpr unsigned min_status = 100;
inline constexpr unsigned min_final_status = 200;
inline constexpr unsigned max_status = 599;
inline constexpr unsigned switching_protocols = 101;

/// True for a status that may precede the final response. The clients here never request another protocol,
/// so that a response which switches to one is invalid.
constexpr bool is_informational(unsigned status) {
    return status >= min_status && status < min_final_status && status != switching_protocols;
}

/// True for the status of a final response. Parsers accept any three digits, 000 included.
constexpr bool is_final_status(unsigned status) {
    return status >= min_final_status && status <= max_status;
}

} // namespace boragehollow::common
