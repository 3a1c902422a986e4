#pragma once

#include "boragehollow/config/config_snapshot.hpp"
#include "boragehollow/config/limits.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace boragehollow::config {

/// The record or snapshot is not newer than the applied state.
struct not_newer {
    revision applied;
    revision offered;

    bool operator==(const not_newer&) const = default;
};

/// This build does not know the active schema, and could decide differently from other daemons.
struct unknown_schema {
    std::uint32_t active = 0;
    std::uint32_t newest_known = 0;

    bool operator==(const unknown_schema&) const = default;
};

/// Two states of the same version differ, because of a defect in a daemon or in the transport.
struct digest_mismatch {
    revision version;

    bool operator==(const digest_mismatch&) const = default;
};

/// Reason why a record or snapshot was not applied. No verdict was decided, and the state did not change.
using apply_error = std::variant<not_newer, unknown_schema, digest_mismatch>;

/// The configuration as a deterministic function of the applied records. The duty that owns it passes the
/// records in offset order, without gaps other than those of the log itself.
class config_state {
public:
    explicit config_state(std::uint32_t newest_schema = newest_known_schema);

    tl::expected<verdict, apply_error> apply(revision at, const change& record);

    /// Reject a record that the codec cannot decode, or that is too large. The digest does not cover the
    /// detail.
    tl::expected<verdict, apply_error> reject_undecodable(revision at, std::string detail);
    tl::expected<verdict, apply_error> reject_oversized(revision at, std::string detail);

    /// Replaces the state by a newer one. An equal state is accepted without effect; an older one is an
    /// error.
    tl::expected<void, apply_error> restore(std::shared_ptr<const config_snapshot> offered);

    std::shared_ptr<const config_snapshot> snapshot() const { return m_current; }

    /// Returns the reason when no further records are applied because this build does not know the active
    /// schema.
    std::optional<unknown_schema> stopped() const { return m_stopped; }

private:
    std::optional<apply_error> precondition_error(revision at) const;
    verdict decide(revision at, const change& record, config_snapshot& next) const;
    verdict reject_record(revision at, rejected reason);
    void publish(revision at, const verdict& result, config_snapshot next);

    std::uint32_t m_newest_schema;
    std::shared_ptr<const config_snapshot> m_current;
    std::optional<unknown_schema> m_stopped;
};

/// Returns the digest after one more record.
std::uint64_t extend_digest(std::uint64_t previous, revision at, const verdict& result);

} // namespace boragehollow::config
