#include "boragehollow/forwarding/account_gate.hpp"

namespace boragehollow::forwarding {

std::string_view to_string(key_error error) {
    switch (error) {
    case key_error::missing:
        return "missing";
    case key_error::unknown:
        return "unknown";
    case key_error::revoked:
        return "revoked";
    }
    return "unknown";
}

tl::expected<call_account, key_error>
account_gate::identify(request_message& request, const config::route& route, bool from_own_host) const {
    if (!configured()) {
        return call_account{};
    }
    const std::size_t keys = request.count(beast_view(m_names.account_key));
    const std::string_view key = view_of(request[beast_view(m_names.account_key)]);
    const bool needs_key = !route.is_public && (!from_own_host || keys > 0);
    const auto owner = needs_key ? m_index->find_key(key) : std::nullopt;
    request.erase(beast_view(m_names.account_key));
    request.erase(beast_view(m_names.account));
    if (!needs_key) {
        return call_account{};
    }
    if (keys != 1) {
        return tl::unexpected(key_error::missing);
    }
    if (!owner) {
        return tl::unexpected(key_error::unknown);
    }
    return call_account{m_index, *owner};
}

bool account_gate::holds_key(const call_account& account) const {
    return !account || account.index == m_index || !configured() ||
           m_index->holds_key(account.get()->name, account.owner.fingerprint);
}

bool account_gate::holds_key(const call_metadata& call) const {
    return call.account.empty() || !configured() || m_index->version() < call.config_version ||
           m_index->holds_key(call.account, call.account_key);
}

double account_gate::weight_of(const call_metadata& call) const {
    return configured() ? m_index->weight_of(m_index->find_account(call.account)) : 1;
}

void account_gate::prepare_for_target(const call_metadata& call, request_message& request) const {
    if (!configured() && call.account.empty()) {
        return;
    }
    // A daemon that has not received the accounts yet forwards what its caller sent.
    request.erase(beast_view(m_names.account_key));
    request.erase(beast_view(m_names.account));
    if (!call.account.empty()) {
        request.set(beast_view(m_names.account), beast_view(call.account));
    }
}

void write_account(const call_account& account, call_metadata& call) {
    if (!account) {
        return;
    }
    call.account = account.get()->name;
    call.account_key = account.owner.fingerprint;
    call.priority = account.get()->priority.value_or(call.priority);
}

} // namespace boragehollow::forwarding
