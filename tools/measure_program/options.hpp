#pragma once

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace boragehollow::measure {

/// Failure domains of a mesh, and the daemons in each.
struct mesh_size {
    std::size_t domains = 3;
    std::size_t daemons_per_domain = 4;

    std::size_t daemons() const { return domains * daemons_per_domain; }
};

std::string to_string(const mesh_size& size);

struct measure_options {
    std::vector<std::string> names;
    std::filesystem::path build;
    std::size_t rounds = 5;
    bool quick = false;
    std::vector<mesh_size> sizes{{3, 4}, {4, 12}};
    std::uint64_t seed = 1;
    std::string json_file;
    std::filesystem::path svg_folder; ///< Empty: no charts.
    std::filesystem::path keep;       ///< Folder that keeps settings and logs; empty: they are removed.
};

struct usage {
    std::string text;
    bool error = false;
};

tl::expected<measure_options, usage> parse_measure_options(int argc, const char* const* argv);

} // namespace boragehollow::measure
