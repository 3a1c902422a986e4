#include "boragehollow/balancing/attempt.hpp"

namespace boragehollow::balancing {

bool outcome_unknown(choice_refusal_reason reason) {
    return reason == choice_refusal_reason::not_repeatable ||
           reason == choice_refusal_reason::placement_lost ||
           reason == choice_refusal_reason::placement_moving;
}

std::string_view to_string(choice_refusal_reason reason) {
    switch (reason) {
    case choice_refusal_reason::unknown_service:
        return "unknown_service";
    case choice_refusal_reason::no_target:
        return "no_target";
    case choice_refusal_reason::deadline_passed:
        return "deadline_passed";
    case choice_refusal_reason::attempts_exhausted:
        return "attempts_exhausted";
    case choice_refusal_reason::retry_budget:
        return "retry_budget";
    case choice_refusal_reason::hedge_budget:
        return "hedge_budget";
    case choice_refusal_reason::not_repeatable:
        return "not_repeatable";
    case choice_refusal_reason::placement_unsettled:
        return "placement_unsettled";
    case choice_refusal_reason::placement_lost:
        return "placement_lost";
    case choice_refusal_reason::placement_moving:
        return "placement_moving";
    case choice_refusal_reason::too_many_outstanding:
        return "too_many_outstanding";
    }
    return "unknown";
}

} // namespace boragehollow::balancing
