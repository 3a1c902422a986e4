#include "options.hpp"

#include <boost/program_options.hpp>

#include <charconv>
#include <optional>
#include <sstream>

namespace boragehollow::measure {

namespace po = boost::program_options;

namespace {

/// Parses DAEMONSxDOMAINS: `48x4` means 48 daemons in 4 failure domains.
std::optional<mesh_size> parse_size(const std::string& text) {
    std::size_t daemons = 0;
    std::size_t domains = 0;
    const char* const end = text.data() + text.size();
    const auto first = std::from_chars(text.data(), end, daemons);
    if (first.ec != std::errc() || first.ptr == end || *first.ptr != 'x') {
        return std::nullopt;
    }
    const auto second = std::from_chars(first.ptr + 1, end, domains);
    const bool complete = second.ec == std::errc() && second.ptr == end;
    if (!complete || domains == 0 || daemons < domains || daemons % domains != 0) {
        return std::nullopt;
    }
    return mesh_size{domains, daemons / domains};
}

} // namespace

std::string to_string(const mesh_size& size) {
    return std::to_string(size.daemons()) + "x" + std::to_string(size.domains);
}

tl::expected<measure_options, usage_message> parse_measure_options(int argc, const char* const* argv) {
    measure_options options;
    std::vector<std::string> sizes;
    std::string build;
    std::string svg_folder;
    std::string keep;
    po::options_description description(
        "boragehollow_measure NAME...: measures the product and its baselines");
    auto add = description.add_options();
    add("help", "print this text");
    add("name", po::value(&options.names)->composing(), "name of a measurement, or 'all'");
    add("build", po::value(&build)->required(), "build folder that holds the programs");
    add("rounds", po::value(&options.rounds), "number of rounds; each measures the product and the baseline");
    add("quick", po::bool_switch(&options.quick), "run one short round only");
    add("size", po::value(&sizes)->composing(),
        "DAEMONSxDOMAINS: mesh size for convergence and control-bytes; may be repeated");
    add("seed", po::value(&options.seed), "random seed for arrivals and for the choice of daemons");
    add("json", po::value(&options.json_file), "file for the figures as JSON");
    add("svg", po::value(&svg_folder), "folder for charts");
    add("keep", po::value(&keep), "folder in which to keep the settings and logs of all processes");
    po::positional_options_description positions;
    positions.add("name", -1);
    std::ostringstream help;
    help << description;
    try {
        po::variables_map values;
        po::store(po::command_line_parser(argc, argv).options(description).positional(positions).run(),
                  values);
        if (values.contains("help")) {
            return tl::unexpected(usage_message{help.str(), false});
        }
        po::notify(values);
    } catch (const po::error& error) {
        return tl::unexpected(usage_message{std::string(error.what()) + "\n" + help.str(), true});
    }
    if (options.names.empty() || options.rounds == 0) {
        return tl::unexpected(usage_message{help.str(), true});
    }
    options.build = build;
    options.svg_folder = svg_folder;
    options.keep = keep;
    if (options.quick) {
        options.rounds = 1;
        options.sizes = {{3, 4}};
    }
    if (!sizes.empty()) {
        options.sizes.clear();
    }
    for (const std::string& text : sizes) {
        const auto size = parse_size(text);
        if (!size) {
            return tl::unexpected(
                usage_message{"invalid size '" + text + "': expected DAEMONSxDOMAINS", true});
        }
        options.sizes.push_back(*size);
    }
    return options;
}

} // namespace boragehollow::measure
