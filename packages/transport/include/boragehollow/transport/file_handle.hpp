#pragma once

namespace boragehollow::transport {

/// Owns a file descriptor of the kernel.
class file_handle {
public:
    file_handle() = default;
    explicit file_handle(int descriptor) : m_descriptor(descriptor) {}
    file_handle(file_handle&& other) noexcept;
    file_handle& operator=(file_handle&& other) noexcept;
    ~file_handle();

    int get() const { return m_descriptor; }
    bool valid() const { return m_descriptor >= 0; }

private:
    int m_descriptor = -1;
};

} // namespace boragehollow::transport
