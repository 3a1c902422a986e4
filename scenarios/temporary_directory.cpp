#include "temporary_directory.hpp"

#include <cerrno>
#include <cstdlib>
#include <string>
#include <system_error>

namespace boragehollow::scenario {

temporary_directory::temporary_directory() {
    std::string name = (std::filesystem::temp_directory_path() / "boragehollow-scenario-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::system_error(errno, std::generic_category(), "cannot create a temporary directory");
    }
    m_path = name;
}

temporary_directory::~temporary_directory() {
    if (m_kept) {
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

} // namespace boragehollow::scenario
