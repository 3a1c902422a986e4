#include "boragehollow/membership/roles.hpp"

#include "boragehollow/common/rendezvous.hpp"

namespace boragehollow::membership {

std::vector<std::string> log_readers(std::string_view failure_domain,
                                     const std::vector<std::string>& live_hosts) {
    return common::rendezvous_choices("log_reader/" + std::string(failure_domain), live_hosts,
                                      readers_per_domain);
}

std::optional<std::string> compactor(const std::vector<std::string>& readers) {
    std::vector<std::string> first = common::rendezvous_choices("compactor", readers, 1);
    if (first.empty()) {
        return std::nullopt;
    }
    return std::move(first.front());
}

} // namespace boragehollow::membership
