#pragma once

namespace boragehollow::transport {

/// Owning file descriptor: closes it on destruction.
class unique_fd {
public:
    unique_fd() = default;
    explicit unique_fd(int descriptor) : m_descriptor(descriptor) {}
    unique_fd(unique_fd&& other) noexcept;
    unique_fd& operator=(unique_fd&& other) noexcept;
    ~unique_fd();

    int get() const { return m_descriptor; }
    bool valid() const { return m_descriptor >= 0; }

private:
    int m_descriptor = -1;
};

} // namespace boragehollow::transport
