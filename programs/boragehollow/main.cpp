#include "boragehollow/cli/run.hpp"

#include <iostream>

int main(int argc, char** argv) {
    using namespace boragehollow::cli;
    const auto invocation = parse_arguments({argv + 1, argv + argc});
    if (!invocation) {
        std::cerr << "boragehollow: " << invocation.error().detail << '\n';
        return static_cast<int>(exit_code::usage);
    }
    return static_cast<int>(run(*invocation, std::cout, std::cerr));
}
