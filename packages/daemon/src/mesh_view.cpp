#include "boragehollow/daemon/mesh_view.hpp"

#include "boragehollow/membership/roles.hpp"

#include <algorithm>
#include <set>

namespace boragehollow::daemon {

const membership::member* mesh_view::find(const std::string& host) const {
    const auto found = hosts.find(host);
    return found == hosts.end() ? nullptr : found->second.get();
}

std::vector<std::string> mesh_view::live_hosts(const std::string& failure_domain) const {
    std::vector<std::string> live;
    for (const auto& [host, value] : hosts) {
        if (value->failure_domain != failure_domain || !reachable(*value)) {
            continue;
        }
        live.push_back(host);
    }
    return live;
}

std::vector<std::string> mesh_view::failure_domains() const {
    std::set<std::string> domains;
    for (const auto& [host, value] : hosts) {
        domains.insert(value->failure_domain);
    }
    return {domains.begin(), domains.end()};
}

std::vector<std::string> mesh_view::readers(const std::string& failure_domain) const {
    std::vector<membership::reader_candidate> candidates;
    for (const auto& [host, value] : hosts) {
        if (value->failure_domain == failure_domain && reachable(*value)) {
            candidates.push_back({host, value->link_megabits});
        }
    }
    return membership::log_readers(failure_domain, candidates);
}

std::optional<reader_position> mesh_view::own_reader_position() const {
    std::vector<std::vector<std::string>> by_domain;
    for (const std::string& domain : failure_domains()) {
        by_domain.push_back(readers(domain));
    }
    // The first readers of all domains precede the second ones, so that neighbours are in different domains
    // and a domain that is cut off takes no consecutive positions with it.
    std::vector<std::string> ordered;
    for (std::size_t rank = 0; rank < membership::readers_per_domain; ++rank) {
        for (const std::vector<std::string>& domain_readers : by_domain) {
            if (rank < domain_readers.size()) {
                ordered.push_back(domain_readers[rank]);
            }
        }
    }
    const auto own = std::ranges::find(ordered, own_host);
    if (own == ordered.end()) {
        return std::nullopt;
    }
    return reader_position{static_cast<std::size_t>(own - ordered.begin()), ordered.size()};
}

std::string mesh_view::compactor() const {
    std::vector<std::string> all_readers;
    for (const std::string& domain : failure_domains()) {
        const auto own = readers(domain);
        all_readers.insert(all_readers.end(), own.begin(), own.end());
    }
    return membership::compactor(all_readers).value_or("");
}

std::size_t mesh_view::count(membership::member_state state) const {
    return static_cast<std::size_t>(std::count_if(
        hosts.begin(), hosts.end(), [&](const auto& entry) { return entry.second->state == state; }));
}

} // namespace boragehollow::daemon
