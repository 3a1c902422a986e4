#pragma once

#include <string>

namespace boragehollow::forwarding {

/// Names of the headers that callers and targets use. Supplied by the frontend that implements their
/// protocol.
struct header_names {
    std::string request_id;         ///< Unique id of a caller's request.
    std::string time_left;          ///< Milliseconds until the caller's timeout.
    std::string expected_instance;  ///< Id of the only instance that may run the request.
    std::string instance_id;        ///< Id of the instance that sent the response.
    std::string response_signature; ///< Present in every response that the target itself produced.
    std::string not_executed;       ///< Present when the target did not run the request.
    std::string caller_service;     ///< Service on the host from which the request was sent.
    std::string account_key;        ///< Key of the caller's account; not sent to the target.
    std::string account;            ///< Name of the account whose key the caller sent, for the target.
};

} // namespace boragehollow::forwarding
