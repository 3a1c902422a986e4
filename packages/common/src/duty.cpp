#include "boragehollow/common/duty.hpp"

#include <pthread.h>

#include <utility>

namespace boragehollow::common {

namespace {

constexpr std::size_t max_thread_name_length = 15; // Without the terminating null; a kernel limit.

void set_thread_name(const std::string& name) {
    const std::string shortened = name.substr(0, max_thread_name_length);
    pthread_setname_np(pthread_self(), shortened.c_str());
}

} // namespace

duty::duty(std::string name, std::function<void(std::stop_token)> run)
    : m_thread([name = std::move(name), run = std::move(run)](std::stop_token stop) {
          set_thread_name(name);
          run(std::move(stop));
      }) {}

void duty::request_stop() {
    m_thread.request_stop();
}

void duty::join() {
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

} // namespace boragehollow::common
