#include "boragehollow/forwarding/quota_codec.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace boragehollow::forwarding {

namespace {

constexpr std::uint64_t format_version = 1;
constexpr std::uint64_t lease_flag = 1;
constexpr std::uint64_t release_flag = 2;

constexpr std::size_t max_name_bytes = 255;
constexpr std::uint64_t max_accounts = 4'096;
constexpr std::uint64_t max_tokens = 1'000'000;
constexpr std::uint64_t max_daemons = 1'000'000;
constexpr std::chrono::hours max_duration{24};
/// A process does not run for longer.
constexpr std::chrono::hours max_owner_time{24 * 365 * 100};

class writer {
public:
    void number(std::uint64_t value) {
        constexpr std::uint64_t low_bits = 0x7F;
        while (value > low_bits) {
            m_bytes.push_back(static_cast<char>((value & low_bits) | 0x80));
            value >>= 7;
        }
        m_bytes.push_back(static_cast<char>(value));
    }
    void text(std::string_view value) {
        number(value.size());
        m_bytes.append(value);
    }
    template <class Duration>
    void duration(Duration value) {
        number(static_cast<std::uint64_t>(std::max<typename Duration::rep>(value.count(), 0)));
    }
    std::string take() { return std::move(m_bytes); }

private:
    std::string m_bytes;
};

/// Reads until the first error; from then on, all values are empty.
class reader {
public:
    explicit reader(std::string_view bytes) : m_rest(bytes) {}

    std::uint64_t number(std::uint64_t max = std::numeric_limits<std::uint64_t>::max()) {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < 64; shift += 7) {
            if (m_rest.empty()) {
                break;
            }
            const auto byte = static_cast<unsigned char>(m_rest.front());
            m_rest.remove_prefix(1);
            const std::uint64_t bits = byte & 0x7FU;
            if (shift == 63 && bits > 1) {
                break;
            }
            value |= bits << shift;
            if ((byte & 0x80U) == 0) {
                return value <= max ? value : fail();
            }
        }
        return fail();
    }
    std::uint32_t small_number(std::uint64_t max) { return static_cast<std::uint32_t>(number(max)); }
    std::string text() {
        const std::size_t size = number(max_name_bytes);
        if (size > m_rest.size()) {
            fail();
            return {};
        }
        std::string value(m_rest.substr(0, size));
        m_rest.remove_prefix(size);
        return value;
    }
    template <class Duration>
    Duration duration(Duration max) {
        return Duration(static_cast<typename Duration::rep>(number(static_cast<std::uint64_t>(max.count()))));
    }
    bool failed() const { return m_failed; }
    bool complete() const { return !m_failed && m_rest.empty(); }

private:
    std::uint64_t fail() {
        m_failed = true;
        m_rest = {};
        return 0;
    }

    std::string_view m_rest;
    bool m_failed = false;
};

} // namespace

std::string encode(const quota::token_request& request) {
    writer out;
    out.number(format_version);
    out.text(request.host);
    out.number(request.group);
    out.number(request.sequence);
    out.number(request.owner_process);
    out.number((request.lease ? lease_flag : 0) | (request.release ? release_flag : 0));
    if (request.lease) {
        out.duration(request.lease->granted_at);
        out.duration(request.lease->duration);
        out.number(request.lease->known_daemons);
    }
    out.number(request.accounts.size());
    for (const quota::account_demand& demand : request.accounts) {
        out.text(demand.account);
        out.number(demand.waiting);
        out.number(demand.expected);
    }
    return out.take();
}

std::string encode(const quota::token_reply& reply) {
    writer out;
    out.number(format_version);
    out.number(reply.sequence);
    out.number(reply.owner_process);
    out.duration(reply.owner_time);
    out.number(reply.config_version);
    out.number(reply.without_share ? 1 : 0);
    out.number(reply.accounts.size());
    for (const quota::account_grant& grant : reply.accounts) {
        out.text(grant.account);
        out.number(grant.tokens);
        out.duration(grant.retry_after);
    }
    return out.take();
}

std::optional<quota::token_request> decode_token_request(std::string_view bytes) {
    reader in(bytes);
    if (in.number() != format_version) {
        return std::nullopt;
    }
    quota::token_request request;
    request.host = in.text();
    request.group = in.small_number(quota::group_count - 1);
    request.sequence = in.number();
    request.owner_process = in.number();
    const std::uint64_t flags = in.number(lease_flag | release_flag);
    request.release = (flags & release_flag) != 0;
    if ((flags & lease_flag) != 0) {
        quota::share_lease lease;
        lease.granted_at = in.duration<std::chrono::microseconds>(max_owner_time);
        lease.duration = in.duration<std::chrono::milliseconds>(max_duration);
        lease.known_daemons = in.small_number(max_daemons);
        request.lease = lease;
    }
    const std::uint64_t count = in.number(max_accounts);
    for (std::uint64_t i = 0; i < count && !in.failed(); ++i) {
        quota::account_demand demand;
        demand.account = in.text();
        demand.waiting = in.small_number(max_tokens);
        demand.expected = in.small_number(max_tokens);
        request.accounts.push_back(std::move(demand));
    }
    if (!in.complete()) {
        return std::nullopt;
    }
    return request;
}

std::optional<quota::token_reply> decode_token_reply(std::string_view bytes) {
    reader in(bytes);
    if (in.number() != format_version) {
        return std::nullopt;
    }
    quota::token_reply reply;
    reply.sequence = in.number();
    reply.owner_process = in.number();
    reply.owner_time = in.duration<std::chrono::microseconds>(max_owner_time);
    reply.config_version = in.number();
    reply.without_share = in.number(1) == 1;
    const std::uint64_t count = in.number(max_accounts);
    for (std::uint64_t i = 0; i < count && !in.failed(); ++i) {
        quota::account_grant grant;
        grant.account = in.text();
        grant.tokens = in.small_number(2 * max_tokens);
        grant.retry_after = in.duration<std::chrono::milliseconds>(max_duration);
        reply.accounts.push_back(std::move(grant));
    }
    if (!in.complete()) {
        return std::nullopt;
    }
    return reply;
}

} // namespace boragehollow::forwarding
