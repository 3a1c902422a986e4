#pragma once

#include <string>
#include <vector>

namespace boragehollow::spreading {

/// Live members according to the membership duty, without this daemon, and the roles of this daemon.
struct peer_view {
    std::vector<std::string> own_domain;
    std::vector<std::string> other_domains;
    std::vector<std::string> readers; ///< Log readers of the own domain, without this daemon.
    bool log_reader = false;
    bool compactor = false;
};

} // namespace boragehollow::spreading
