#pragma once

#include "http_server.hpp"
#include "options.hpp"
#include "work_keeper.hpp"

#include <string>

namespace boragehollow::standin {

/// Answers the requests of the mesh and of tests. One object serves all threads of the server; what changes
/// belongs to the keeper.
class request_handler {
public:
    request_handler(const target_options& options, keeper_ring& ring);

    /// Returns the status that was sent.
    int handle(mg_connection* connection) const;

private:
    struct received_body {
        std::uint64_t size = 0;
        std::string digest;
        bool complete = true;
    };
    struct job {
        mg_connection* connection = nullptr;
        std::string request_id;
        std::string call_id;
        steady_time deadline;
        entry_grant grant;
        received_body body;
    };

    /// The name of the settings, or else the address.
    std::string target_name(const mg_connection* connection) const;
    int run(mg_connection* connection) const;
    int refuse(mg_connection* connection, entry_refusal reason, const std::string& request_id) const;
    /// Returns the state in which the request ended.
    run_state work(job& work, int& status) const;
    received_body read_body(mg_connection* connection) const;
    std::string response_headers(const job& work) const;
    bool send_generated(const job& work, std::uint64_t size) const;
    bool send_summary(const job& work, int& status) const;
    int show_ledger(mg_connection* connection) const;
    int show_report(mg_connection* connection, bool health) const;
    int set_switches(mg_connection* connection) const;

    target_options m_options;
    keeper_ring& m_ring;
};

} // namespace boragehollow::standin
