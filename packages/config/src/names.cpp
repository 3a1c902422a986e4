#include "boragehollow/config/names.hpp"

#include <algorithm>
#include <array>
#include <cstddef>

namespace boragehollow::config {

namespace {

// Each list is in the order of its enumeration.
constexpr std::array<std::string_view, 3> resource_kinds{"route", "service_policy", "target_rule"};
constexpr std::array<std::string_view, 2> work_classes{"short", "long"};
constexpr std::array<std::string_view, 2> domain_preferences{"local_first", "any"};
constexpr std::array<std::string_view, 3> queue_orders{"fair", "arrival", "ranked"};
constexpr std::array<std::string_view, 9> rejection_reasons{
    "undecodable",       "oversized", "schema_mismatch", "invalid_field", "dangling_reference",
    "revision_conflict", "not_found", "duplicate",       "limit_exceeded"};

template <class Enum, std::size_t Size>
std::string_view name_in(const std::array<std::string_view, Size>& names, Enum value) {
    const auto index = static_cast<std::size_t>(value);
    return index < Size ? names[index] : std::string_view("unknown");
}

template <class Enum, std::size_t Size>
std::optional<Enum> value_in(const std::array<std::string_view, Size>& names, std::string_view name) {
    const auto found = std::ranges::find(names, name);
    if (found == names.end()) {
        return std::nullopt;
    }
    return static_cast<Enum>(found - names.begin());
}

} // namespace

std::string_view to_string(resource_kind value) {
    return name_in(resource_kinds, value);
}

std::string_view to_string(work_class value) {
    return name_in(work_classes, value);
}

std::string_view to_string(domain_preference value) {
    return name_in(domain_preferences, value);
}

std::string_view to_string(rejection_reason value) {
    return name_in(rejection_reasons, value);
}

std::string_view to_string(const queue_order& value) {
    return name_in(queue_orders, value.index());
}

std::optional<queue_order> parse_queue_order(std::string_view name) {
    const auto index = value_in<std::size_t>(queue_orders, name);
    if (!index) {
        return std::nullopt;
    }
    static const std::array<queue_order, 3> orders{fair_queueing{}, fifo_queueing{}, priority_queueing{}};
    return orders.at(*index);
}

std::optional<resource_kind> parse_resource_kind(std::string_view name) {
    return value_in<resource_kind>(resource_kinds, name);
}

std::optional<work_class> parse_work_class(std::string_view name) {
    return value_in<work_class>(work_classes, name);
}

std::optional<domain_preference> parse_domain_preference(std::string_view name) {
    return value_in<domain_preference>(domain_preferences, name);
}

std::optional<rejection_reason> parse_rejection_reason(std::string_view name) {
    return value_in<rejection_reason>(rejection_reasons, name);
}

} // namespace boragehollow::config
