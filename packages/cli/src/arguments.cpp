#include "boragehollow/cli/arguments.hpp"

#include "boragehollow/common/duration_text.hpp"
#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/config/names.hpp"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <functional>
#include <limits>
#include <map>
#include <sstream>

namespace boragehollow::cli {

namespace {

namespace po = boost::program_options;

template <class T>
using parsed = tl::expected<T, usage_error>;

tl::unexpected<usage_error> usage_failure(std::string detail) {
    return tl::unexpected(usage_error{std::move(detail)});
}

/// Usage, options and builder of one command.
struct command_description {
    std::string usage;
    std::string summary;
    bool connects = true;
    std::function<void(po::options_description&)> add_options;
    std::vector<std::string> positional{};
    std::function<parsed<command>(const po::variables_map&)> build;
};

template <class T>
std::optional<T> optional_value(const po::variables_map& values, const char* name) {
    if (values.count(name) == 0) {
        return std::nullopt;
    }
    return values[name].as<T>();
}

/// Numbers are parsed as signed, since program_options accepts "-1" for an unsigned type and wraps it.
parsed<std::optional<common::revision>> parse_revision(const po::variables_map& values, const char* name) {
    const auto number = optional_value<std::int64_t>(values, name);
    if (!number) {
        return std::nullopt;
    }
    if (*number < 0) {
        return usage_failure(std::string("--") + name + " must not be negative");
    }
    return common::revision{static_cast<std::uint64_t>(*number)};
}

parsed<config::resource_kind> parse_kind(const po::variables_map& values) {
    const auto kind = config::parse_resource_kind(values["kind"].as<std::string>());
    if (!kind) {
        return usage_failure("KIND must be route, service_policy or target_rule");
    }
    return *kind;
}

void add_author_options(po::options_description& options) {
    const char* user = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe)
    options.add_options()("author", po::value<std::string>()->default_value(user == nullptr ? "" : user),
                          "author of the change");
    options.add_options()("change-id", po::value<std::string>(),
                          "id of the change; to retry a change of unknown outcome, give its id");
}

parsed<command> build_apply(const po::variables_map& values) {
    return apply_command{values["file"].as<std::string>(), values["author"].as<std::string>(),
                         optional_value<std::string>(values, "change-id")};
}

parsed<command> build_get(const po::variables_map& values) {
    get_command result;
    if (values.count("kind") != 0) {
        const auto kind = parse_kind(values);
        if (!kind) {
            return tl::unexpected(kind.error());
        }
        result.kind = *kind;
    }
    result.name = optional_value<std::string>(values, "name");
    return result;
}

parsed<command> build_delete(const po::variables_map& values) {
    if (values.count("kind") == 0 || values.count("name") == 0) {
        return usage_failure("delete requires KIND and NAME");
    }
    const auto kind = parse_kind(values);
    if (!kind) {
        return tl::unexpected(kind.error());
    }
    const auto expected = parse_revision(values, "revision");
    if (!expected) {
        return tl::unexpected(expected.error());
    }
    return delete_command{{*kind, values["name"].as<std::string>()},
                          *expected,
                          values["author"].as<std::string>(),
                          optional_value<std::string>(values, "change-id")};
}

parsed<command> build_watch(const po::variables_map& values) {
    return parse_revision(values, "from").map([](auto from) -> command { return watch_command{from}; });
}

parsed<command> build_status(const po::variables_map& values) {
    return parse_revision(values, "revision").map([](auto at) -> command { return status_command{at}; });
}

parsed<command> build_timeline(const po::variables_map& values) {
    const auto limit = values["limit"].as<std::int64_t>();
    if (limit < 1 || limit > 10'000) {
        return usage_failure("--limit must be from 1 to 10000");
    }
    return timeline_command{static_cast<std::uint32_t>(limit)};
}

parsed<command> build_check(const po::variables_map& values) {
    if (values.count("path") == 0) {
        return usage_failure("check requires at least one file");
    }
    return check_command{values["path"].as<std::vector<std::string>>()};
}

void add_key_options(po::options_description& options) {
    options.add_options()("kind", po::value<std::string>(), "route, service_policy or target_rule");
    options.add_options()("name", po::value<std::string>(), "name of the resource");
}

const std::map<std::string, command_description, std::less<>>& commands() {
    static const std::map<std::string, command_description, std::less<>> all{
        {"accounts",
         {"accounts [options]",
          "print the client accounts, their use on one daemon and their refusals",
          true,
          [](po::options_description&) {},
          {},
          [](const po::variables_map&) -> parsed<command> { return accounts_command{}; }}},
        {"apply",
         {"apply -f FILE [options]",
          "submit a change from a JSON file",
          true,
          [](po::options_description& options) {
              options.add_options()(
                  "file,f", po::value<std::string>()->required(),
                  "file with one resource, a list, or the output of get; - is the standard input");
              add_author_options(options);
          },
          {},
          build_apply}},
        {"get",
         {"get [KIND [NAME]] [options]",
          "print resources",
          true,
          add_key_options,
          {"kind", "name"},
          build_get}},
        {"delete",
         {"delete KIND NAME [options]",
          "delete a resource",
          true,
          [](po::options_description& options) {
              add_key_options(options);
              options.add_options()("revision", po::value<std::int64_t>(),
                                    "delete the resource only if it has this revision");
              add_author_options(options);
          },
          {"kind", "name"},
          build_delete}},
        {"watch",
         {"watch [options]",
          "print each change as it is applied",
          true,
          [](po::options_description& options) {
              options.add_options()("from", po::value<std::int64_t>(),
                                    "first version to print; default: the next");
          },
          {},
          build_watch}},
        {"status",
         {"status [options]",
          "print the version and how many daemons have it",
          true,
          [](po::options_description& options) {
              options.add_options()("revision", po::value<std::int64_t>(),
                                    "count the daemons at or past this version; default: the current one");
          },
          {},
          build_status}},
        {"timeline",
         {"timeline [options]",
          "print recent events",
          true,
          [](po::options_description& options) {
              options.add_options()("limit", po::value<std::int64_t>()->default_value(100),
                                    "maximum number of events");
          },
          {},
          build_timeline}},
        {"check",
         {"check FILE...",
          "check resource files (.json) and daemon settings (.toml) offline",
          false,
          [](po::options_description& options) {
              options.add_options()("path", po::value<std::vector<std::string>>(), "files to check");
          },
          {"path"},
          build_check}},
        {"version",
         {"version",
          "print the version of this program",
          false,
          [](po::options_description&) {},
          {},
          [](const po::variables_map&) -> parsed<command> { return version_command{}; }}},
    };
    return all;
}

std::string general_help() {
    std::ostringstream text;
    text << "usage: boragehollow COMMAND [options]\n\n";
    for (const auto& [name, description] : commands()) {
        text << "  " << name << std::string(10 - name.size(), ' ') << description.summary << '\n';
    }
    text << "\n'boragehollow COMMAND --help' lists the options of a command.\n"
            "Exit codes: 0 done, 1 failed, 2 usage, 3 rejected, 4 not reachable, 5 outcome unknown.\n";
    return text.str();
}

po::options_description make_options(const command_description& description) {
    po::options_description options("options");
    description.add_options(options);
    options.add_options()("output,o", po::value<std::string>()->default_value("table"), "table or json");
    if (description.connects) {
        const char* address = std::getenv("BORAGEHOLLOW_ADDRESS"); // NOLINT(concurrency-mt-unsafe)
        const std::string default_address = common::to_string(connection_options{}.daemon);
        options.add_options()(
            "address,a",
            po::value<std::string>()->default_value(address == nullptr ? default_address : address),
            "operator listener of a daemon; the variable BORAGEHOLLOW_ADDRESS sets the default");
        options.add_options()("timeout", po::value<std::string>()->default_value("30s"),
                              "timeout of the whole command, including retries");
    }
    options.add_options()("help,h", "print this text");
    return options;
}

std::string format_help(const command_description& description, const po::options_description& options) {
    std::ostringstream text;
    text << "usage: boragehollow " << description.usage << "\n\n" << description.summary << "\n\n" << options;
    return text.str();
}

parsed<connection_options> parse_connection(const po::variables_map& values) {
    connection_options result;
    const auto daemon = common::parse_endpoint(values["address"].as<std::string>());
    if (!daemon) {
        return usage_failure("--address: " + daemon.error());
    }
    const auto timeout = common::parse_duration(values["timeout"].as<std::string>());
    if (!timeout || *timeout == timeout->zero()) {
        return usage_failure("--timeout must be a duration such as 500ms, 30s or 2m");
    }
    result.daemon = *daemon;
    result.timeout = *timeout;
    return result;
}

parsed<invocation> parse_command(const command_description& description,
                                 const std::vector<std::string>& arguments) {
    const po::options_description options = make_options(description);
    po::positional_options_description positional;
    for (const std::string& name : description.positional) {
        positional.add(name.c_str(), name == "path" ? -1 : 1);
    }
    po::variables_map values;
    po::store(po::command_line_parser(arguments).options(options).positional(positional).run(), values);
    if (values.count("help") != 0) {
        return invocation{help_command{format_help(description, options)}, {}, output_format::table};
    }
    po::notify(values);
    const std::string output = values["output"].as<std::string>();
    if (output != "table" && output != "json") {
        return usage_failure("--output must be table or json");
    }
    invocation result;
    result.output = output == "json" ? output_format::json : output_format::table;
    if (description.connects) {
        const auto connection = parse_connection(values);
        if (!connection) {
            return tl::unexpected(connection.error());
        }
        result.connection = *connection;
    }
    auto action = description.build(values);
    if (!action) {
        return tl::unexpected(action.error());
    }
    result.action = *std::move(action);
    return result;
}

} // namespace

tl::expected<invocation, usage_error> parse_arguments(const std::vector<std::string>& arguments) {
    if (arguments.empty()) {
        return usage_failure("a command is missing\n\n" + general_help());
    }
    const std::string& name = arguments.front();
    if (name == "--help" || name == "-h" || name == "help") {
        return invocation{help_command{general_help()}, {}, output_format::table};
    }
    if (name == "--version") {
        return invocation{version_command{}, {}, output_format::table};
    }
    const auto found = commands().find(name);
    if (found == commands().end()) {
        return usage_failure("unknown command '" + name + "'\n\n" + general_help());
    }
    try {
        return parse_command(found->second, {arguments.begin() + 1, arguments.end()});
    } catch (const po::error& error) {
        return usage_failure(name + ": " + error.what());
    }
}

} // namespace boragehollow::cli
