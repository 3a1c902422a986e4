#include "boragehollow/common/duty.hpp"

#include <pthread.h>

#include <utility>

namespace boragehollow::common {

namespace {

constexpr std::size_t kernel_thread_name_length = 15;

void name_this_thread(const std::string& name) {
    const std::string shortened = name.substr(0, kernel_thread_name_length);
    pthread_setname_np(pthread_self(), shortened.c_str());
}

} // namespace

duty::duty(std::string name, std::function<void(std::stop_token)> run)
    : m_thread([name = std::move(name), run = std::move(run)](std::stop_token stop) {
          name_this_thread(name);
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
