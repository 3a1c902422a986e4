#pragma once

#include "boragehollow/daemon/call_runner.hpp"

namespace boragehollow::daemon {

/// Attempts of one call on other hosts: the first one, and a second one if the call is hedged.
class call_runner::remote_attempts {
public:
    remote_attempts(call_runner& runner, incoming_call& call, std::vector<std::string>& tried,
                    const body_source& body, caller_response& response);

    attempt_report run(const balancing::attempt_target& first);

private:
    struct attempt {
        balancing::attempt_target selected;
        common::steady_time started;
        std::optional<peer::target_load> load;
        bool active = true;
    };

    enum class next_step { wait, done };

    bool start(const balancing::attempt_target& selected);
    void try_hedge();
    common::steady_time next_deadline() const;
    next_step handle(const peer::exchange_event& event);
    next_step handle_reply(peer::attempt_index index, const peer::call_reply_part& part);
    next_step handle_lost(peer::attempt_index index, const peer::stream_lost& lost);
    next_step end_attempt(peer::attempt_index index, peer::call_failure failure);
    next_step send_more_body(peer::attempt_index index);
    next_step forward_response(peer::attempt_index index, const peer::call_reply_part& first);
    void cancel_others(std::optional<peer::attempt_index> winner);
    bool any_active() const;

    call_runner& m_runner;
    incoming_call& m_call;
    std::vector<std::string>& m_tried;
    const body_source& m_body;
    caller_response& m_response;
    peer::call_exchange m_exchange;
    std::vector<attempt> m_attempts;
    std::optional<common::steady_time> m_hedge_at;
    common::steady_time m_deadline; ///< Extended when long work is admitted.
    attempt_report m_report;
    bool m_admitted = false; ///< A host admitted the call, so the rest of the body may be sent.
    bool m_body_complete = false;
};

} // namespace boragehollow::daemon
