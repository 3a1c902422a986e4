#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/random_source.hpp"
#include "boragehollow/common/shared_snapshot.hpp"
#include "boragehollow/config/versioned_config.hpp"
#include "boragehollow/daemon/state_source_duty.hpp"
#include "boragehollow/routing/route_table.hpp"
#include "boragehollow/telemetry/event_log.hpp"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace boragehollow::daemon {

/// Configuration documents from one read of the platform, the newest last.
struct documents_received {
    std::vector<std::string> documents;
};

/// A compressed configuration document from another daemon.
struct peer_document_received {
    std::string compressed;
};

/// Another daemon reported a newer version.
struct newer_version_observed {
    common::endpoint peer;
    common::revision version;
    /// The peer is in this daemon's failure domain, so a transfer does not leave the domain.
    bool same_domain = false;
};

/// How this daemon obtains the platform's documents; decides how soon it fetches one from another daemon.
struct reading_mode_changed {
    reading_mode mode;
};

/// Whether the platform responds to this daemon.
struct platform_reachability {
    bool reachable = true;
};

/// The platform had no document at `read_at` beyond those already received.
struct platform_read {
    common::steady_time read_at;
};

using state_message = std::variant<documents_received, peer_document_received, newer_version_observed,
                                   reading_mode_changed, platform_reachability, platform_read>;

/// Document of the active version, in the form in which other daemons receive it.
struct active_document {
    common::revision version;
    std::string compressed;
};

/// Receivers of the state duty's decisions.
struct state_sinks {
    std::function<void(const config::active_config&, std::shared_ptr<const routing::route_table>)> activated;
    std::function<void(const common::endpoint& peer)> fetch; ///< Requests the document from another daemon.
    std::function<void()> read_platform;                     ///< Requests one read of the platform.
    /// The document of this version can be fetched from this daemon.
    std::function<void(common::revision)> available;
    /// The active version was the newest one at `read_at`. Called after the activation of what that read
    /// delivered. Optional.
    std::function<void(common::steady_time read_at)> confirmed{};
};

/// Decoding of the platform's documents. The version is decoded first: during a storm of versions, several
/// daemons deliver the same document.
struct document_decoding {
    std::function<tl::expected<common::revision, std::string>(const std::string&)> version;
    std::function<tl::expected<config::versioned_config, std::string>(const std::string&)> document;
};

/// Thread that activates configuration documents, but only complete, valid and newer ones. It fetches a newer
/// version from a daemon that reports it: at once if this daemon does not read the platform continuously or
/// the platform does not respond to it, otherwise after a delay.
class state_duty {
public:
    state_duty(document_decoding decode, state_sinks sinks, std::size_t ring_size,
               common::random_source random, const telemetry::event_log& events);
    ~state_duty();

    void stop();

    common::bounded_ring<state_message>& ring() { return m_ring; }
    std::shared_ptr<const active_document> document() const { return m_document.load(); }

private:
    void run();
    void handle(const documents_received& message, common::steady_time now);
    void handle(const peer_document_received& message, common::steady_time now);
    void handle(const newer_version_observed& message, common::steady_time now);
    void handle(const reading_mode_changed& message, common::steady_time now);
    void handle(const platform_reachability& message, common::steady_time now);
    void handle(const platform_read& message, common::steady_time now);
    std::chrono::milliseconds fetch_delay();
    /// The platform may no longer deliver the reported version for which this daemon waits.
    void reschedule_first_fetch(common::steady_time now);
    enum class activation { activated, not_newer, invalid };

    /// Activates the document if it is valid and newer.
    activation activate(const std::string& document);
    /// Offers the document of the active version to other daemons.
    void offer(std::string compressed);
    void fetch_if_due(common::steady_time now);

    document_decoding m_decode;
    state_sinks m_sinks;
    const telemetry::event_log& m_events;
    common::random_source m_random;
    reading_mode m_mode = continuous_reading{};
    bool m_platform_reachable = true;
    common::revision m_version;
    std::shared_ptr<const config::config_snapshot> m_snapshot; ///< Active one.
    common::shared_snapshot<active_document> m_document;
    std::optional<newer_version_observed> m_newer;
    common::steady_time m_fetch_at;
    common::steady_time m_last_fetch;
    unsigned m_fetches = 0; ///< Number of fetches of `m_newer`.
    common::bounded_ring<state_message> m_ring;
    common::duty m_thread;
};

} // namespace boragehollow::daemon
