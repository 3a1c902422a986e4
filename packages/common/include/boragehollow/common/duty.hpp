#pragma once

#include <functional>
#include <stop_token>
#include <string>
#include <thread>

namespace boragehollow::common {

/// Named thread that runs one duty: a loop that owns a part of the program's state. The destructor requests a
/// stop and waits for the thread to end.
class duty {
public:
    /// `name` appears in thread listings; the kernel keeps its first 15 characters.
    duty(std::string name, std::function<void(std::stop_token)> run);

    duty(const duty&) = delete;
    duty& operator=(const duty&) = delete;
    ~duty() = default;

    void request_stop();
    void join();

private:
    std::jthread m_thread;
};

} // namespace boragehollow::common
