#pragma once

#include "boragehollow/admission/messages.hpp"

namespace boragehollow::admission {

struct waiting_call {
    admission_request request;
    steady_time enqueued;
    steady_time expires; ///< The deadline or the end of the longest wait, whichever is earlier.
};

} // namespace boragehollow::admission
