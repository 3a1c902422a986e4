#pragma once

#include <filesystem>

namespace boragehollow::scenario {

/// Temporary directory that the destructor removes, unless keep() was called.
class temporary_directory {
public:
    /// Throws std::system_error if the directory cannot be created.
    temporary_directory();
    ~temporary_directory();

    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;

    void keep() { m_kept = true; }
    const std::filesystem::path& path() const { return m_path; }

private:
    std::filesystem::path m_path;
    bool m_kept = false;
};

} // namespace boragehollow::scenario
