#include "boragehollow/balancing/attempt.hpp"

namespace boragehollow::balancing {

bool outcome_unknown(selection_error_reason reason) {
    return reason == selection_error_reason::not_repeatable ||
           reason == selection_error_reason::placement_lost ||
           reason == selection_error_reason::placement_moving;
}

std::string_view to_string(selection_error_reason reason) {
    switch (reason) {
    case selection_error_reason::unknown_service:
        return "unknown_service";
    case selection_error_reason::no_target:
        return "no_target";
    case selection_error_reason::deadline_passed:
        return "deadline_passed";
    case selection_error_reason::attempts_exhausted:
        return "attempts_exhausted";
    case selection_error_reason::retry_budget:
        return "retry_budget";
    case selection_error_reason::hedge_budget:
        return "hedge_budget";
    case selection_error_reason::not_repeatable:
        return "not_repeatable";
    case selection_error_reason::placement_unsettled:
        return "placement_unsettled";
    case selection_error_reason::placement_lost:
        return "placement_lost";
    case selection_error_reason::placement_moving:
        return "placement_moving";
    case selection_error_reason::too_many_outstanding:
        return "too_many_outstanding";
    }
    return "unknown";
}

} // namespace boragehollow::balancing
