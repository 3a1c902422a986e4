#include "boragehollow/common/random_source.hpp"
#include "boragehollow/scenario/parser.hpp"
#include "boragehollow/scenario/runner.hpp"
#include "interrupt_watch.hpp"
#include "temporary_directory.hpp"

#include <cstdint>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <limits>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

namespace {

namespace options = boost::program_options;
namespace scenario = boragehollow::scenario;
using std::filesystem::path;

constexpr int exit_passed = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr int exit_interrupted = 130;

struct arguments {
    std::vector<path> files;
    std::uint64_t seed = 0;
    bool parse_only = false;
    bool keep = false;
    path daemon;
    path platform_log;
    path target;
};

/// Build folder that contains this program; its other programs are the defaults of the options.
path build_folder() {
    std::error_code ignored;
    return std::filesystem::read_symlink("/proc/self/exe", ignored).parent_path().parent_path();
}

std::optional<arguments> read_arguments(int count, char** words) {
    const path build = build_folder();
    arguments result;
    std::vector<std::string> files;
    std::string daemon = build / "programs/boragehollowd/boragehollowd";
    std::string platform_log = build / "standins/platform_log/boragehollow_platform_log";
    std::string target = build / "standins/target/boragehollow_target";
    options::options_description visible("boragehollow_scenario [OPTION]... FILE...\n\nOptions");
    visible.add_options()("help", "show this text")(
        "seed", options::value(&result.seed),
        "seed of all random choices (default: a random seed, which is printed)")(
        "check", options::bool_switch(&result.parse_only), "only parse the files")(
        "keep", options::bool_switch(&result.keep), "keep the settings files and logs")(
        "daemon", options::value(&daemon)->default_value(daemon), "path of the daemon program")(
        "platform-log", options::value(&platform_log)->default_value(platform_log),
        "path of the platform log stand-in")("target", options::value(&target)->default_value(target),
                                             "path of the target stand-in");
    options::options_description all;
    all.add(visible).add_options()("file", options::value(&files));
    options::positional_options_description positional;
    positional.add("file", -1);
    options::variables_map values;
    try {
        options::store(options::command_line_parser(count, words).options(all).positional(positional).run(),
                       values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << "boragehollow_scenario: " << error.what() << "\n" << visible;
        return std::nullopt;
    }
    if (values.contains("help") || files.empty()) {
        std::cerr << visible;
        return std::nullopt;
    }
    if (!values.contains("seed")) {
        result.seed = boragehollow::common::random_source::from_system().index(
            std::numeric_limits<std::uint32_t>::max());
    }
    result.files.assign(files.begin(), files.end());
    result.daemon = daemon;
    result.platform_log = platform_log;
    result.target = target;
    return result;
}

std::optional<std::vector<scenario::statement>> read_scenario(const path& file) {
    std::ifstream stream(file);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf())) {
        std::cerr << file.string() << ": cannot be read or is empty\n";
        return std::nullopt;
    }
    auto parsed = scenario::parse_scenario(text.str());
    if (parsed) {
        return std::move(*parsed);
    }
    for (const scenario::parse_error& error : parsed.error()) {
        std::cerr << file.string() << ":" << error.line << ": " << error.message << "\n";
    }
    return std::nullopt;
}

bool run_one(const path& file, const std::vector<scenario::statement>& statements, const arguments& given,
             const std::stop_token& stop) {
    scenario::temporary_directory directory;
    if (given.keep) {
        directory.keep();
        std::cout << "files: " << directory.path().string() << "\n";
    }
    std::cout << file.string() << ", seed " << given.seed << std::endl;
    const scenario::runner_options runner{given.daemon,     given.platform_log, given.target,
                                          directory.path(), file.parent_path(), given.seed};
    const auto done = scenario::run_scenario(statements, runner, std::cout, stop);
    if (done) {
        std::cout << "passed: " << file.string() << std::endl;
        return true;
    }
    const scenario::scenario_failure& failure = done.error();
    std::cout << "timeline:\n" << failure.timeline;
    std::cout << "FAILED: " << file.string() << ":" << failure.failed.line << ": " << failure.failed.text
              << "\n"
              << "  " << failure.reason << "\n"
              << "  seed " << given.seed << std::endl;
    return false;
}

int run_all(const arguments& given, const std::stop_token& stop) {
    bool all_passed = true;
    for (const path& file : given.files) {
        const auto statements = read_scenario(file);
        if (!statements) {
            return exit_usage;
        }
        if (given.parse_only) {
            std::cout << file.string() << ": " << statements->size() << " statements\n";
            continue;
        }
        all_passed = run_one(file, *statements, given, stop) && all_passed;
        if (stop.stop_requested()) {
            return exit_interrupted;
        }
    }
    return all_passed ? exit_passed : exit_failed;
}

} // namespace

int main(int count, char** words) {
    try {
        const auto given = read_arguments(count, words);
        if (!given) {
            return exit_usage;
        }
        const scenario::interrupt_watch interrupts;
        return run_all(*given, interrupts.token());
    } catch (const std::exception& error) {
        std::cerr << "boragehollow_scenario: " << error.what() << "\n";
        return exit_failed;
    }
}
