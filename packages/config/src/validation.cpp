#include "boragehollow/config/validation.hpp"

#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/common/truncate.hpp"
#include "boragehollow/config/limits.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace boragehollow::config {

namespace {

bool is_lower_alnum(char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

bool is_printable(char c) {
    return c > ' ' && c < '\x7f';
}

bool is_platform_name(std::string_view name) {
    const auto is_control = [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; };
    return !name.empty() && name.size() <= max_platform_name_length && std::ranges::none_of(name, is_control);
}

std::string format_value(milliseconds value) {
    return std::to_string(value.count()) + "ms";
}

std::string format_value(double value) {
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
        text.pop_back();
    }
    return text;
}

std::string format_value(std::uint32_t value) {
    return std::to_string(value);
}

/// Collects the errors of one resource.
class error_list {
public:
    explicit error_list(name_source names = name_source::product) : m_names(names) {}

    void add(std::string field, std::string detail) {
        m_errors.push_back({std::move(field), std::move(detail)});
    }

    template <class T>
    void check_range(const std::string& field, T value, T low, T high) {
        // This form of the comparison is false for NaN.
        if (value >= low && value <= high) {
            return;
        }
        add(field, "must be between " + format_value(low) + " and " + format_value(high));
    }

    void check_name(const std::string& field, const std::string& value) {
        if (m_names == name_source::platform) {
            if (!is_platform_name(value)) {
                add(field, "must have 1 to " + std::to_string(max_platform_name_length) +
                               " bytes and no control characters");
            }
            return;
        }
        if (is_valid_name(value)) {
            return;
        }
        add(field, "must consist of 1 to " + std::to_string(max_name_length) +
                       " characters a-z, 0-9, '-', '.' or '_' and begin with a letter or digit");
    }

    std::vector<field_error> take() { return std::move(m_errors); }

private:
    name_source m_names;
    std::vector<field_error> m_errors;
};

bool is_valid_host(std::string_view host) {
    return host.size() <= max_host_length && std::ranges::all_of(host, [](char c) {
               return is_lower_alnum(c) || c == '.' || c == '-' || c == '_';
           });
}

/// Accepts only normalized paths, without empty, "." or ".." segments, because prefixes are compared segment
/// by segment.
bool is_valid_path(std::string_view path) {
    if (path.empty() || path.size() > max_path_length || path.front() != '/') {
        return false;
    }
    if (path == "/") {
        return true;
    }
    for (std::size_t begin = 1; begin <= path.size();) {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        const std::string_view segment = path.substr(begin, end - begin);
        if (segment.empty() || segment == "." || segment == "..") {
            return false;
        }
        begin = end + 1;
    }
    return std::ranges::all_of(path, [](char c) { return is_printable(c) && c != '?' && c != '#'; });
}

bool is_valid_method(std::string_view method) {
    return !method.empty() && method.size() <= max_method_length &&
           std::ranges::all_of(method, [](char c) { return (c >= 'A' && c <= 'Z') || c == '-'; });
}

void check_methods(const std::vector<std::string>& methods, error_list& errors) {
    if (methods.size() > max_methods) {
        errors.add("methods", "must have at most " + std::to_string(max_methods) + " entries");
        return;
    }
    std::set<std::string_view> seen;
    for (std::size_t i = 0; i < methods.size(); ++i) {
        const std::string field = "methods[" + std::to_string(i) + "]";
        if (!is_valid_method(methods[i])) {
            errors.add(field, "must consist of 1 to 32 characters A-Z or '-'");
            continue;
        }
        if (!seen.insert(methods[i]).second) {
            errors.add(field, "is listed twice");
        }
    }
}

void check_backends(const std::vector<weighted_backend>& backends, error_list& errors) {
    if (backends.size() > max_backends) {
        errors.add("backends", "must have at most " + std::to_string(max_backends) + " entries");
        return;
    }
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < backends.size(); ++i) {
        const std::string field = "backends[" + std::to_string(i) + "]";
        errors.check_name(field + ".service", backends[i].service);
        errors.check_range(field + ".weight", backends[i].weight, 0U, max_weight);
        total += backends[i].weight;
    }
    if (!backends.empty() && total == 0) {
        errors.add("backends", "must have at least one weight above 0");
    }
}

void check(const route& value, error_list& errors) {
    errors.check_name("name", value.name);
    if (!is_valid_host(value.host)) {
        errors.add(
            "host",
            "must be empty or consist of at most 253 characters a-z, 0-9, '.', '-' or '_', without a port");
    }
    if (!is_valid_path(value.path_prefix)) {
        errors.add("path_prefix",
                   "must begin with '/' and have at most 1024 printable characters, without '?' or '#', "
                   "without an empty, '.' or '..' segment, and without a trailing '/'");
    }
    check_methods(value.methods, errors);
    errors.check_name("service", value.service);
    errors.check_range("deadline", value.deadline, milliseconds{1}, max_deadline);
    check_backends(value.backends, errors);
    errors.check_range("attempts", value.attempts, 0U, max_attempts);
    errors.check_range("target_latency", value.target_latency, milliseconds{0}, max_deadline);
    errors.check_range("priority", value.priority, 0U, max_priority);
}

void check(const retry_policy& value, error_list& errors) {
    errors.check_range("retry.max_attempts", value.max_attempts, 1U, 10U);
    errors.check_range("retry.budget_ratio", value.budget_ratio, 0.0, 1.0);
    errors.check_range("retry.min_per_second", value.min_per_second, 0U, 1'000U);
    errors.check_range("retry.base_backoff", value.base_backoff, milliseconds{1}, milliseconds{10'000});
    errors.check_range("retry.max_backoff", value.max_backoff, milliseconds{1}, milliseconds{60'000});
    if (value.max_backoff < value.base_backoff) {
        errors.add("retry.max_backoff", "must not be less than retry.base_backoff");
    }
}

void check(const hedging_policy& value, error_list& errors) {
    errors.check_range("hedging.min_delay", value.min_delay, milliseconds{1}, milliseconds{60'000});
    errors.check_range("hedging.budget_ratio", value.budget_ratio, 0.0, 1.0);
}

void check(const admission_policy& value, error_list& errors) {
    errors.check_range("admission.queue_length", value.queue_length, 0U, 10'000U);
    errors.check_range("admission.queue_max_wait", value.queue_max_wait, milliseconds{0},
                       milliseconds{60'000});
    errors.check_range("admission.reserved_short_slots", value.reserved_short_slots, 0U, 1'000U);
    errors.check_range("admission.long_threshold", value.long_threshold, milliseconds{1}, max_deadline);
}

void check(const ejection_policy& value, error_list& errors) {
    errors.check_range("ejection.consecutive_failures", value.consecutive_failures, 1U, 1'000U);
    if (value.latency_factor != 0.0) {
        errors.check_range("ejection.latency_factor", value.latency_factor, 1.0, 100.0);
    }
    errors.check_range("ejection.base_time", value.base_time, milliseconds{1}, milliseconds{600'000});
    errors.check_range("ejection.max_time", value.max_time, milliseconds{1}, milliseconds{3'600'000});
    if (value.max_time < value.base_time) {
        errors.add("ejection.max_time", "must not be less than ejection.base_time");
    }
    errors.check_range("ejection.max_fraction", value.max_fraction, 0.0, 1.0);
    errors.check_range("ejection.panic_healthy_fraction", value.panic_healthy_fraction, 0.0, 1.0);
}

void check(const service_policy& value, error_list& errors) {
    errors.check_name("name", value.name);
    if (const auto* ewma = std::get_if<peak_ewma>(&value.balancing)) {
        errors.check_range("balancing.decay", ewma->decay, milliseconds{1}, milliseconds{600'000});
    }
    if (const auto* by_load = std::get_if<load_aware>(&value.balancing)) {
        errors.check_range("balancing.decay", by_load->decay, milliseconds{1}, milliseconds{600'000});
    }
    check(value.retry, errors);
    check(value.hedging, errors);
    check(value.admission, errors);
    check(value.ejection, errors);
}

void check(const target_rule& value, error_list& errors) {
    errors.check_name("name", value.name);
    errors.check_name("service", value.service);
    if (value.labels.size() > max_labels) {
        errors.add("labels", "must have at most " + std::to_string(max_labels) + " entries");
    }
    for (const auto& [key, text] : value.labels) {
        const std::string field = "labels." + common::truncate_utf8(key, max_name_length);
        if (!is_valid_name(key)) {
            errors.add(field, "the key is not a valid name");
        }
        if (text.size() > max_label_value_length || !std::ranges::all_of(text, is_printable)) {
            errors.add(field, "the value must have at most 128 printable ASCII characters and no space");
        }
    }
    errors.check_range("spill_over", value.spill_over, 0.0, 1.0);
}

bool is_valid_identifier(std::string_view text) {
    return !text.empty() && text.size() <= max_identifier_length && std::ranges::all_of(text, is_printable);
}

std::optional<rejected> check_operation(const put_operation& put, const std::string& path) {
    std::vector<field_error> errors = validate(put.value);
    if (errors.empty()) {
        return std::nullopt;
    }
    return rejected{rejection_reason::invalid_field, std::move(errors.front().detail),
                    path + ".put." + errors.front().field, key_of(put.value)};
}

std::optional<rejected> check_operation(const delete_operation& removal, const std::string& path) {
    if (is_valid_name(removal.key.name)) {
        return std::nullopt;
    }
    return rejected{rejection_reason::invalid_field, "the resource name is invalid", path + ".delete.name",
                    removal.key};
}

std::optional<rejected> check_operation(const activate_schema_operation&, const std::string&) {
    return std::nullopt;
}

std::optional<resource_key> key_of_operation(const operation& op) {
    return std::visit(
        common::overloaded{
            [](const put_operation& put) -> std::optional<resource_key> { return key_of(put.value); },
            [](const delete_operation& removal) -> std::optional<resource_key> { return removal.key; },
            [](const activate_schema_operation&) -> std::optional<resource_key> { return std::nullopt; },
        },
        op);
}

} // namespace

bool is_valid_name(std::string_view name) {
    if (name.empty() || name.size() > max_name_length || !is_lower_alnum(name.front())) {
        return false;
    }
    return std::ranges::all_of(name,
                               [](char c) { return is_lower_alnum(c) || c == '-' || c == '.' || c == '_'; });
}

std::vector<field_error> validate(const resource& value, name_source names) {
    error_list errors(names);
    std::visit([&errors](const auto& concrete) { check(concrete, errors); }, value);
    return errors.take();
}

std::vector<field_error> validate_header(const change& value) {
    error_list errors;
    if (!is_valid_identifier(value.change_id)) {
        errors.add("change_id", "must have 1 to 128 printable ASCII characters and no space");
    }
    if (value.author.size() > max_identifier_length) {
        errors.add("author", "must have at most 128 bytes");
    }
    return errors.take();
}

std::optional<rejected> validate_operations(const change& value) {
    const auto error = [](rejection_reason reason, std::string detail, std::string field) {
        return rejected{reason, std::move(detail), std::move(field), {}};
    };
    if (value.operations.empty()) {
        return error(rejection_reason::invalid_field, "must have at least one entry", "operations");
    }
    if (value.operations.size() > max_operations) {
        return error(rejection_reason::limit_exceeded,
                     "must have at most " + std::to_string(max_operations) + " entries", "operations");
    }
    std::set<resource_key> seen;
    for (std::size_t i = 0; i < value.operations.size(); ++i) {
        const std::string path = "operations[" + std::to_string(i) + "]";
        const std::optional<resource_key> key = key_of_operation(value.operations[i]);
        if (!key && value.operations.size() > 1) {
            return error(rejection_reason::invalid_field, "must be the only operation of its change",
                         path + ".activate_schema");
        }
        const auto check_one = [&path](const auto& op) { return check_operation(op, path); };
        if (auto found = std::visit(check_one, value.operations[i])) {
            return found;
        }
        if (key && !seen.insert(*key).second) {
            return rejected{rejection_reason::invalid_field, "the change has two operations on this resource",
                            path, key};
        }
    }
    return std::nullopt;
}

} // namespace boragehollow::config
