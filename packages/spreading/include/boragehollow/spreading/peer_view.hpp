#pragma once

#include <string>
#include <vector>

namespace boragehollow::spreading {

/// Live members as the membership duty sees them, without this daemon itself, and this daemon's roles.
struct peer_view {
    std::vector<std::string> own_domain;
    std::vector<std::string> other_domains;
    std::vector<std::string> readers; ///< Log readers of the own domain, without this daemon.
    bool log_reader = false;
    bool compactor = false;
};

} // namespace boragehollow::spreading
