#include "boragehollow/transport/file_handle.hpp"

#include <unistd.h>

#include <utility>

namespace boragehollow::transport {

file_handle::file_handle(file_handle&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1)) {}

file_handle& file_handle::operator=(file_handle&& other) noexcept {
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

file_handle::~file_handle() {
    if (valid()) {
        ::close(m_descriptor);
    }
}

} // namespace boragehollow::transport
