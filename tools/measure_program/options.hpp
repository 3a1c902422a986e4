#pragma once

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace boragehollow::measure {

/// Number of failure domains of a mesh, and of daemons in each.
struct mesh_size {
    std::size_t domains = 3;
    std::size_t daemons_per_domain = 4;

    std::size_t daemons() const { return domains * daemons_per_domain; }
};

std::string to_string(const mesh_size& size);

struct measure_options {
    std::vector<std::string> names;
    std::filesystem::path build; ///< Build folder that holds the programs.
    std::size_t rounds = 5;
    bool quick = false;
    std::vector<mesh_size> sizes{{3, 4}, {4, 12}};
    std::uint64_t seed = 1;
    std::string json_file;
    std::filesystem::path svg_folder; ///< Folder for charts; empty: none.
    std::filesystem::path keep; ///< Folder for settings and logs; empty: a temporary one that is removed.
};

/// Help text, or a description of an invalid command line.
struct usage_message {
    std::string text;
    bool error = false;
};

tl::expected<measure_options, usage_message> parse_measure_options(int argc, const char* const* argv);

} // namespace boragehollow::measure
