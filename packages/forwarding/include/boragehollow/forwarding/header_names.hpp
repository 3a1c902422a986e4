#pragma once

#include <string>

namespace boragehollow::forwarding {

/// Names of the headers that callers and targets use. The front end that knows their protocol supplies them.
struct header_names {
    std::string request_id;         ///< Identifies one request of a caller.
    std::string time_left;          ///< Milliseconds that the caller will still wait.
    std::string expected_instance;  ///< Names the instance that alone may run the request.
    std::string instance_id;        ///< Instance that answered.
    std::string response_signature; ///< Marks a response as the target's own.
    std::string not_executed;       ///< The target's word that it did not run the request.
    std::string caller_service;     ///< Service on the host where the request began.
};

} // namespace boragehollow::forwarding
