#include "boragehollow/cli/file_check.hpp"

#include "boragehollow/settings/load.hpp"

#include <cerrno>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <system_error>

namespace boragehollow::cli {

namespace {

std::vector<file_error> check_settings(const std::string& file, const std::string& text) {
    const auto read = settings::parse_settings(text);
    std::vector<file_error> errors;
    if (read) {
        return errors;
    }
    for (const settings::settings_error& error : read.error()) {
        errors.push_back({file, error.key, error.message, error.line});
    }
    return errors;
}

std::vector<file_error> check_file(const std::string& file) {
    const auto text = read_file(file);
    if (!text) {
        return {text.error()};
    }
    if (file.ends_with(".toml")) {
        return check_settings(file, *text);
    }
    auto read = read_change_file(file, *text);
    return read ? std::vector<file_error>{} : std::move(read).error();
}

} // namespace

tl::expected<std::string, file_error> read_file(const std::string& path) {
    std::ostringstream content;
    if (path == "-") {
        content << std::cin.rdbuf();
        return content.str();
    }
    std::ifstream stream(path, std::ios::binary);
    const int error = errno;
    if (!stream) {
        return tl::unexpected(file_error{path, "", std::generic_category().message(error)});
    }
    std::string text(std::istreambuf_iterator<char>(stream), {});
    if (stream.bad()) {
        return tl::unexpected(file_error{path, "", "cannot be read"});
    }
    return text;
}

std::vector<file_error> check_files(const std::vector<std::string>& files) {
    std::vector<file_error> errors;
    for (const std::string& file : files) {
        for (file_error& error : check_file(file)) {
            errors.push_back(std::move(error));
        }
    }
    return errors;
}

} // namespace boragehollow::cli
