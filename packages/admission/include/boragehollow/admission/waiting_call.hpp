#pragma once

#include "boragehollow/admission/messages.hpp"

namespace boragehollow::admission {

/// Queued call.
struct waiting_call {
    admission_request request;
    steady_time enqueued;
    steady_time expires; ///< Latest start: bounded by the deadline and by the policy's maximum wait.
    std::optional<microseconds> service_time{}; ///< Expected for this call; unset: the mean of its class.
};

} // namespace boragehollow::admission
