#include "boragehollow/common/rendezvous.hpp"
#include "boragehollow/quota/messages.hpp"

namespace boragehollow::quota {

namespace {

/// A daemon that is cut off with a third of the mesh finds an owner on its own side among six in 91 of 100
/// cases. Each of the others costs it two reply timeouts.
constexpr std::size_t max_owners = 6;

} // namespace

std::uint32_t group_of(std::string_view account) {
    return static_cast<std::uint32_t>(common::stable_hash(account) % group_count);
}

std::vector<std::string> owner_order(std::uint32_t group, const mesh_members& members) {
    std::vector<std::string> candidates;
    for (const live_daemon& daemon : members.live) {
        if (daemon.fast_link) {
            candidates.push_back(daemon.host);
        }
    }
    return common::rendezvous_choices("quota_owner/" + std::to_string(group), candidates, max_owners);
}

} // namespace boragehollow::quota
