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
    const std::vector<std::string> own = readers(own_domain);
    const auto position = std::ranges::find(own, own_host);
    if (position == own.end()) {
        return std::nullopt;
    }
    return reader_position{static_cast<std::size_t>(position - own.begin()), own.size()};
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
