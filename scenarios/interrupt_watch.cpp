#include "interrupt_watch.hpp"

#include <array>
#include <csignal>
#include <cstdint>

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace boragehollow::scenario {

interrupt_watch::interrupt_watch() {
    sigset_t watched;
    sigemptyset(&watched);
    sigaddset(&watched, SIGINT);
    sigaddset(&watched, SIGTERM);
    ::pthread_sigmask(SIG_BLOCK, &watched, nullptr);
    m_signal_descriptor = ::signalfd(-1, &watched, SFD_CLOEXEC);
    m_stop_event = ::eventfd(0, EFD_CLOEXEC);
    m_duty = std::make_unique<common::duty>("interrupts", [this](const std::stop_token&) { run(); });
}

interrupt_watch::~interrupt_watch() {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(m_stop_event, &one, sizeof(one));
    m_duty.reset();
    ::close(m_signal_descriptor);
    ::close(m_stop_event);
}

void interrupt_watch::run() const {
    std::array<pollfd, 2> descriptors{{{m_signal_descriptor, POLLIN, 0}, {m_stop_event, POLLIN, 0}}};
    while (::poll(descriptors.data(), descriptors.size(), -1) < 0) {
    }
    if (descriptors[0].revents != 0) {
        std::stop_source(m_interrupted).request_stop();
    }
}

} // namespace boragehollow::scenario
