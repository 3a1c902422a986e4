#pragma once

#include "boragehollow/config/config_snapshot.hpp"
#include "boragehollow/config/limits.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace boragehollow::config {

/// The record or snapshot is not newer than what is applied already.
struct not_newer {
    revision applied;
    revision offered;

    bool operator==(const not_newer&) const = default;
};

/// This build does not know the active schema, so it would decide differently from other daemons.
struct unknown_schema {
    std::uint32_t active = 0;
    std::uint32_t newest_known = 0;

    bool operator==(const unknown_schema&) const = default;
};

/// Two states of the same version differ: a fault in a daemon or in its transport.
struct digest_mismatch {
    revision version;

    bool operator==(const digest_mismatch&) const = default;
};

/// Why a record or snapshot was not taken. No verdict was decided, and nothing changed.
using apply_error = std::variant<not_newer, unknown_schema, digest_mismatch>;

/// The configuration as a deterministic function of the records applied. The duty that owns it passes records
/// in offset order, without gaps other than those that the log itself has.
class config_state {
public:
    explicit config_state(std::uint32_t newest_schema = newest_known_schema);

    tl::expected<verdict, apply_error> apply(revision at, const change& record);

    /// For a record that the codec cannot decode, or that is too large; the detail is not part of the digest.
    tl::expected<verdict, apply_error> reject_undecodable(revision at, std::string detail);
    tl::expected<verdict, apply_error> reject_oversized(revision at, std::string detail);

    /// Takes a newer state as a whole. An equal one is accepted and changes nothing; an older one is refused.
    tl::expected<void, apply_error> restore(std::shared_ptr<const config_snapshot> offered);

    std::shared_ptr<const config_snapshot> snapshot() const { return m_current; }

    /// Set when the state stopped because this build does not know the active schema.
    std::optional<unknown_schema> stopped() const { return m_stopped; }

private:
    std::optional<apply_error> refusal(revision at) const;
    verdict decide(revision at, const change& record, config_snapshot& next) const;
    verdict reject_record(revision at, rejected reason);
    void publish(revision at, const verdict& result, config_snapshot next);

    std::uint32_t m_newest_schema;
    std::shared_ptr<const config_snapshot> m_current;
    std::optional<unknown_schema> m_stopped;
};

/// Digest after one more record.
std::uint64_t extend_digest(std::uint64_t previous, revision at, const verdict& result);

} // namespace boragehollow::config
