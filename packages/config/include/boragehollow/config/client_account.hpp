#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace boragehollow::config {

/// Account of a client outside the mesh. Its calls carry one of its keys.
struct client_account {
    std::string name{};
    std::vector<std::string> keys{};         ///< Secrets: they appear in no log, metric or page.
    std::optional<std::uint32_t> priority{}; ///< Precedes the priority of the route.
    double rate_per_second = 0;              ///< Calls of all daemons together; 0: no limit.
    double burst = 0;                        ///< Calls beyond the rate, once.

    bool operator==(const client_account&) const = default;
};

/// The first error of a list of accounts, empty for a valid list. States no key.
std::string find_account_error(const std::vector<client_account>& accounts);

} // namespace boragehollow::config
