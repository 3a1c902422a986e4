#include "boragehollow/common/scope_guard.hpp"
#include "measurements.hpp"
#include "stop_signals.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include <unistd.h>

namespace {

using namespace boragehollow;

std::vector<measure::measurement> all_measurements() {
    return {measure::added_latency{}, measure::convergence{}, measure::control_bytes{},
            measure::footprint{},     measure::overload{},    measure::slowed_targets{},
            measure::head_of_line{}};
}

std::string name_of(const measure::measurement& measurement) {
    return std::visit([](const auto& concrete) { return std::string(concrete.name); }, measurement);
}

tl::expected<std::vector<measure::measurement>, std::string> select(const std::vector<std::string>& names) {
    const auto known = all_measurements();
    std::vector<measure::measurement> selected;
    for (const std::string& name : names) {
        if (name == "all") {
            selected = known;
            continue;
        }
        const auto found =
            std::find_if(known.begin(), known.end(), [&](const auto& each) { return name_of(each) == name; });
        if (found == known.end()) {
            std::string text = "unknown measurement '" + name + "'; available: all";
            for (const auto& each : known) {
                text += " " + name_of(each);
            }
            return tl::unexpected(text);
        }
        selected.push_back(*found);
    }
    return selected;
}

std::filesystem::path make_directory(const measure::measure_options& options) {
    if (!options.keep.empty()) {
        std::filesystem::create_directories(options.keep);
        return options.keep;
    }
    std::string pattern = (std::filesystem::temp_directory_path() / "boragehollow-measure-XXXXXX").string();
    return ::mkdtemp(pattern.data()) != nullptr ? std::filesystem::path(pattern) : std::filesystem::path();
}

int run(const measure::measure_options& options, const std::string& command) {
    const auto selected = select(options.names);
    if (!selected) {
        std::cerr << selected.error() << '\n';
        return 2;
    }
    const std::filesystem::path directory = make_directory(options);
    if (directory.empty()) {
        std::cerr << "cannot create a folder for the logs\n";
        return 1;
    }
    const common::scope_guard remove_directory([&] {
        std::error_code ignored;
        if (options.keep.empty()) {
            std::filesystem::remove_all(directory, ignored);
        }
    });
    const sigset_t stop_signals = measure::block_stop_signals();
    const auto watch =
        measure::exit_on_signal(stop_signals, options.keep.empty() ? directory : std::filesystem::path());
    measure::measurement_context context{options, directory, {}, common::random_source(options.seed), {}, 0};
    int status = 0;
    for (const auto& measurement : *selected) {
        const auto measured =
            std::visit([&](const auto& concrete) { return measure::run(concrete, context); }, measurement);
        if (!measured) {
            std::cerr << name_of(measurement) << " failed: " << measured.error() << '\n';
            status = 1;
        }
    }
    context.figures.print(std::cout);
    if (!options.json_file.empty()) {
        std::ofstream(options.json_file, std::ios::trunc) << context.figures.json(command) << '\n';
    }
    return status;
}

} // namespace

int main(int argc, char** argv) {
    const auto options = measure::parse_measure_options(argc, argv);
    if (!options) {
        (options.error().error ? std::cerr : std::cout) << options.error().text << '\n';
        return options.error().error ? 2 : 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::string command;
    for (int i = 1; i < argc; ++i) {
        command += (i > 1 ? " " : "") + std::string(argv[i]);
    }
    return run(*options, command);
}
