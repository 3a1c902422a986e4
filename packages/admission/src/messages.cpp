#include "boragehollow/admission/messages.hpp"

namespace boragehollow::admission {

bool outcome_unknown(refusal_reason reason) {
    return reason == refusal_reason::duplicate_call || reason == refusal_reason::duplicate_key;
}

std::string_view to_string(refusal_reason reason) {
    switch (reason) {
    case refusal_reason::no_target:
        return "no_target";
    case refusal_reason::wrong_service:
        return "wrong_service";
    case refusal_reason::target_starting:
        return "target_starting";
    case refusal_reason::draining:
        return "draining";
    case refusal_reason::deadline_passed:
        return "deadline_passed";
    case refusal_reason::expected_wait:
        return "expected_wait";
    case refusal_reason::queue_full:
        return "queue_full";
    case refusal_reason::queue_timeout:
        return "queue_timeout";
    case refusal_reason::duplicate_call:
        return "duplicate_call";
    case refusal_reason::duplicate_key:
        return "duplicate_key";
    case refusal_reason::call_table_full:
        return "call_table_full";
    case refusal_reason::key_table_full:
        return "key_table_full";
    case refusal_reason::retry_limit:
        return "retry_limit";
    case refusal_reason::target_sheds:
        return "target_sheds";
    }
    return "unknown";
}

bool lacks_room(std::string_view reason) {
    return reason == to_string(refusal_reason::expected_wait) ||
           reason == to_string(refusal_reason::queue_full) ||
           reason == to_string(refusal_reason::queue_timeout);
}

} // namespace boragehollow::admission
