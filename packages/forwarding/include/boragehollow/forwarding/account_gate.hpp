#pragma once

#include "boragehollow/accounts/account_index.hpp"
#include "boragehollow/config/resource.hpp"
#include "boragehollow/forwarding/asio.hpp"
#include "boragehollow/forwarding/header_names.hpp"
#include "boragehollow/forwarding/mesh_headers.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <optional>
#include <string_view>

namespace boragehollow::forwarding {

/// Account that makes a call. Without an account, the call needed no key.
struct call_account {
    std::shared_ptr<const accounts::account_index> index; ///< Index that `owner` refers to.
    accounts::key_owner owner;

    const config::client_account* get() const { return owner.account; }
    explicit operator bool() const { return owner.account != nullptr; }
};

/// Reason for a refusal with status 401.
enum class key_error {
    missing, ///< The request has no key, or several.
    unknown, ///< No account has the key.
    revoked, ///< The account had the key when the call was received.
};

std::string_view to_string(key_error error);

/// Decides which account makes a call and whether its key is still valid, by the active configuration. The
/// daemon of the caller and the daemon of the target both ask it.
class account_gate {
public:
    explicit account_gate(const header_names& names) : m_names(names) {}

    void set_index(std::shared_ptr<const accounts::account_index> index) { m_index = std::move(index); }
    const std::shared_ptr<const accounts::account_index>& index() const { return m_index; }

    /// Finds the account of a request of a caller, and removes the headers that belong to the daemons. A call
    /// of the target on the caller's host needs no key.
    tl::expected<call_account, key_error> identify(request_message& request, const config::route& route,
                                                   bool from_own_host) const;

    /// False when a newer configuration has revoked the key of the call.
    bool holds_key(const call_account& account) const;

    /// The same for a call of another daemon's caller. A configuration older than that daemon's decides
    /// nothing.
    bool holds_key(const call_metadata& call) const;

    /// Share of the call's account under overload.
    double weight_of(const call_metadata& call) const;

    /// Sets the headers that the target receives.
    void prepare_for_target(const call_metadata& call, request_message& request) const;

private:
    bool configured() const { return m_index && !m_index->empty(); }

    header_names m_names;
    std::shared_ptr<const accounts::account_index> m_index;
};

/// Writes the account, its priority and the fingerprint of its key.
void write_account(const call_account& account, call_metadata& call);

} // namespace boragehollow::forwarding
