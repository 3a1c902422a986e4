#include "boragehollow/transport/unique_fd.hpp"

#include <unistd.h>

#include <utility>

namespace boragehollow::transport {

unique_fd::unique_fd(unique_fd&& other) noexcept : m_descriptor(std::exchange(other.m_descriptor, -1)) {}

unique_fd& unique_fd::operator=(unique_fd&& other) noexcept {
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

unique_fd::~unique_fd() {
    if (valid()) {
        ::close(m_descriptor);
    }
}

} // namespace boragehollow::transport
