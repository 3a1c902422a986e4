#pragma once

#include "http_server.hpp"
#include "options.hpp"
#include "request_scheduler.hpp"

#include <string>

namespace boragehollow::standin {

/// Responds to the requests of the mesh and of tests. All threads of the server share one object; the mutable
/// state is owned by the scheduler.
class request_handler {
public:
    request_handler(const target_options& options, scheduler_ring& ring);

    /// Returns the status that was sent in the response.
    int handle(mg_connection* connection) const;

private:
    struct received_body {
        std::uint64_t size = 0;
        std::string digest;
        bool complete = true;
    };
    struct running_request {
        mg_connection* connection = nullptr;
        std::string request_id;
        std::string call_id;
        steady_time deadline;
        execution_grant grant;
        received_body body;
    };

    /// Returns the configured name, or the address if there is none.
    std::string target_name(const mg_connection* connection) const;
    int run(mg_connection* connection) const;
    int refuse(mg_connection* connection, refusal_reason reason, const std::string& request_id) const;
    /// Executes the request and sends the response. Returns the state in which the request ended.
    run_state execute(running_request& request, int& status) const;
    received_body read_body(mg_connection* connection) const;
    std::string response_headers(const running_request& request) const;
    /// Sends a response with a generated body of `size` bytes. Returns false if the transfer failed.
    bool send_generated(const running_request& request, std::uint64_t size) const;
    bool send_summary(const running_request& request, int& status) const;
    int respond_with_ledger(mg_connection* connection) const;
    /// Responds to `/load`, or to `/health` with status 503 unless the target is ready.
    int respond_with_status(mg_connection* connection, bool health) const;
    int set_switches(mg_connection* connection) const;

    target_options m_options;
    scheduler_ring& m_ring;
};

} // namespace boragehollow::standin
