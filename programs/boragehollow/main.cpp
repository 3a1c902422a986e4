#include "boragehollow/cli/run.hpp"

#include <iostream>

int main(int argc, char** argv) {
    using namespace boragehollow::cli;
    const auto call = parse_arguments({argv + 1, argv + argc});
    if (!call) {
        std::cerr << "boragehollow: " << call.error().detail << '\n';
        return static_cast<int>(exit_code::usage);
    }
    return static_cast<int>(run(*call, std::cout, std::cerr));
}
