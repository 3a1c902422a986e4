#include "boragehollow/config/client_account.hpp"

#include <algorithm>
#include <map>
#include <string_view>

namespace boragehollow::config {

namespace {

constexpr std::size_t max_account_name_length = 253;
constexpr std::size_t max_key_length = 4'096;
constexpr double max_account_rate = 1e9;

/// The name is sent as the value of a header.
bool is_valid_account_name(std::string_view name) {
    const auto is_control = [](unsigned char c) { return c < 0x20 || c == 0x7f; };
    return !name.empty() && name.size() <= max_account_name_length && name.front() != ' ' &&
           name.back() != ' ' && std::ranges::none_of(name, is_control);
}

bool is_valid_rate(double value) {
    // This form of the comparison is false for NaN.
    return value >= 0 && value <= max_account_rate;
}

} // namespace

std::string find_account_error(const std::vector<client_account>& accounts) {
    std::map<std::string_view, const client_account*> names;
    std::map<std::string_view, const client_account*> keys;
    for (const client_account& account : accounts) {
        if (!is_valid_account_name(account.name)) {
            return "an account's name must have 1 to " + std::to_string(max_account_name_length) +
                   " characters, without control characters and spaces around it";
        }
        if (!names.emplace(account.name, &account).second) {
            return "account " + account.name + " is listed twice";
        }
        if (!is_valid_rate(account.rate_per_second) || !is_valid_rate(account.burst)) {
            return "account " + account.name + " must have a rate and a burst of 0 to 1000000000";
        }
        for (const std::string& key : account.keys) {
            if (key.empty() || key.size() > max_key_length) {
                return "account " + account.name + " must have keys of 1 to " +
                       std::to_string(max_key_length) + " characters";
            }
            const auto [known, added] = keys.emplace(key, &account);
            if (!added && known->second != &account) {
                return "accounts " + known->second->name + " and " + account.name + " have a key in common";
            }
        }
    }
    return {};
}

} // namespace boragehollow::config
