#pragma once

#include "boragehollow/common/revision.hpp"
#include "boragehollow/config/resource.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace boragehollow::config {

using common::revision;

/// Creates a resource or replaces it.
struct put_operation {
    resource value;
    std::optional<revision> expected; ///< Revision that the operator read; 0: the resource must not exist.

    bool operator==(const put_operation&) const = default;
};

struct delete_operation {
    resource_key key;
    std::optional<revision> expected;

    bool operator==(const delete_operation&) const = default;
};

/// Increments the schema number that later records must have. Done when all daemons know the new schema.
struct activate_schema_operation {
    std::uint32_t schema = 1;

    bool operator==(const activate_schema_operation&) const = default;
};

using operation = std::variant<put_operation, delete_operation, activate_schema_operation>;

/// One record of the configuration stream. Either all of its operations take effect or none.
struct change {
    std::string change_id; ///< The same in all retries of a change.
    std::string author;
    std::uint32_t schema = 1;
    std::vector<operation> operations;

    bool operator==(const change&) const = default;
};

enum class rejection_reason {
    undecodable,
    oversized,
    schema_mismatch,
    invalid_field,
    dangling_reference,
    revision_conflict,
    not_found,
    duplicate,
    limit_exceeded,
};

struct accepted {
    bool operator==(const accepted&) const = default;
};

struct rejected {
    rejection_reason reason = rejection_reason::undecodable;
    std::string detail;                   ///< Human-readable.
    std::string field;                    ///< Path of the invalid field, or empty.
    std::optional<resource_key> resource; ///< Resource of the invalid operation.

    bool operator==(const rejected&) const = default;
};

/// Decision on one record, which is the same on every daemon.
using verdict = std::variant<accepted, rejected>;

} // namespace boragehollow::config
