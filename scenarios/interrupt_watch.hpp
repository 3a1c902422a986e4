#pragma once

#include "boragehollow/common/duty.hpp"

#include <memory>
#include <stop_token>

namespace boragehollow::scenario {

/// Converts SIGINT and SIGTERM into a stop request. Must be created before any other thread, since it blocks
/// both signals in the calling thread, and only threads started afterwards inherit the signal mask.
class interrupt_watch {
public:
    interrupt_watch();
    ~interrupt_watch();

    interrupt_watch(const interrupt_watch&) = delete;
    interrupt_watch& operator=(const interrupt_watch&) = delete;

    std::stop_token token() const { return m_interrupted.get_token(); }

private:
    void run() const;

    std::stop_source m_interrupted;
    int m_signal_descriptor = -1;
    int m_stop_event = -1; ///< Event descriptor that the destructor signals to end the duty.
    std::unique_ptr<common::duty> m_duty;
};

} // namespace boragehollow::scenario
