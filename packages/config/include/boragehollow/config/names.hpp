#pragma once

#include "boragehollow/config/change.hpp"

#include <optional>
#include <string_view>

/// Conversion between enumerators and their names in messages, files and logs.
namespace boragehollow::config {

std::string_view to_string(resource_kind value);
std::string_view to_string(work_class value);
std::string_view to_string(domain_preference value);
std::string_view to_string(rejection_reason value);
std::string_view to_string(const queue_order& value);

std::optional<resource_kind> parse_resource_kind(std::string_view name);
std::optional<work_class> parse_work_class(std::string_view name);
std::optional<domain_preference> parse_domain_preference(std::string_view name);
std::optional<rejection_reason> parse_rejection_reason(std::string_view name);
std::optional<queue_order> parse_queue_order(std::string_view name);

} // namespace boragehollow::config
