#pragma once

#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/revision.hpp"
#include "boragehollow/config/resource.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace boragehollow::cli {

enum class output_format { table, json };

/// Options of every command that talks to a daemon.
struct connection_options {
    common::endpoint daemon{"127.0.0.1", 7081};
    /// Bounds the whole command including retries. For `watch` it bounds the time without a connection.
    std::chrono::milliseconds timeout{30'000};
};

struct apply_command {
    std::string file; ///< `-` reads the standard input.
    std::string author;
    std::optional<std::string> change_id; ///< Set to retry a change whose outcome is unknown.
};

struct get_command {
    std::optional<config::resource_kind> kind;
    std::optional<std::string> name;
};

struct delete_command {
    config::resource_key key;
    std::optional<common::revision> expected;
    std::string author;
    std::optional<std::string> change_id;
};

struct watch_command {
    std::optional<common::revision> from;
};

struct status_command {
    std::optional<common::revision> at_least; ///< Counts the daemons at or past this version.
};

struct accounts_command {};

struct timeline_command {
    std::uint32_t limit = 100;
};

struct check_command {
    std::vector<std::string> files;
};

struct version_command {};

struct help_command {
    std::string text;
};

using command =
    std::variant<apply_command, get_command, delete_command, watch_command, status_command, accounts_command,
                 timeline_command, check_command, version_command, help_command>;

struct invocation {
    command action;
    connection_options connection;
    output_format output = output_format::table;
};

struct usage_error {
    std::string detail;
};

/// Parses the arguments after the program name.
tl::expected<invocation, usage_error> parse_arguments(const std::vector<std::string>& arguments);

} // namespace boragehollow::cli
