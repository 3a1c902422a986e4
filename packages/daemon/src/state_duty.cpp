#include "boragehollow/daemon/state_duty.hpp"

#include "boragehollow/codec/document_compression.hpp"
#include "boragehollow/common/overloaded.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace boragehollow::daemon {

namespace {

using std::chrono::milliseconds;
using telemetry::event_number;

/// The platform delivers a version within a few hundred milliseconds to the daemons that read it
/// continuously. A daemon that lacks a version for longer fetches it from a peer. Well below the 2 s in which
/// a version has to take effect.
constexpr milliseconds follower_fetch_delay{800};

/// Daemons of a failure domain learn of a version at the same time; the jitter spreads their requests.
constexpr milliseconds max_request_jitter{120};

/// A transfer takes a few round trips of a millisecond; two of these intervals leave time to read the
/// platform.
constexpr milliseconds fetch_retry_interval{450};

/// A burst of versions costs one transfer instead of one for each version.
constexpr milliseconds min_fetch_interval{300};

/// A peer that does not send its document may be unreachable; the next report of a newer version names
/// another peer.
constexpr unsigned max_fetches = 4;

} // namespace

state_duty::state_duty(document_decoding decode, state_sinks sinks, std::size_t ring_size,
                       common::random_source random, const telemetry::event_log& events)
    : m_decode(std::move(decode)), m_sinks(std::move(sinks)), m_events(events), m_random(random),
      m_ring(ring_size), m_thread("state", [this](const std::stop_token&) { run(); }) {}

state_duty::~state_duty() {
    stop();
}

void state_duty::stop() {
    m_ring.close();
    m_thread.join();
}

void state_duty::run() {
    while (true) {
        auto message = m_newer ? m_ring.pop_until(m_fetch_at) : m_ring.pop();
        const common::steady_time now = common::steady_clock::now();
        if (message) {
            std::visit([&](auto& concrete) { handle(concrete, now); }, *message);
        } else if (m_ring.is_closed()) {
            return;
        }
        fetch_if_due(now);
    }
}

void state_duty::handle(const documents_received& message, common::steady_time) {
    // An invalid document must not hide a valid one that was read with it.
    for (auto document = message.documents.rbegin(); document != message.documents.rend(); ++document) {
        const activation result = activate(*document);
        if (result == activation::invalid) {
            continue;
        }
        if (result == activation::activated) {
            offer(codec::compress_document(*document));
        }
        return;
    }
}

void state_duty::handle(const peer_document_received& message, common::steady_time) {
    const auto document = codec::decompress_document(message.compressed);
    if (!document) {
        m_events.emit(event_number::peer_message_invalid,
                      {{"request", "document"}, {"detail", codec::to_string(document.error())}});
        return;
    }
    if (activate(*document) == activation::activated) {
        offer(message.compressed);
        m_events.emit(event_number::config_fetched_from_peer, {{"version", m_version.value}});
    }
}

void state_duty::offer(std::string compressed) {
    m_document.store(
        std::make_shared<const active_document>(active_document{m_version, std::move(compressed)}));
    // Other daemons fetch the document as soon as they hear of the version.
    m_sinks.available(m_version);
}

state_duty::activation state_duty::activate(const std::string& document) {
    const auto version = m_decode.version(document);
    if (version && *version <= m_version) {
        if (*version < m_version) {
            m_events.emit(event_number::config_older_version_refused,
                          {{"offered", version->value}, {"in_force", m_version.value}});
        }
        return activation::not_newer;
    }
    const auto decoded =
        version ? m_decode.document(document)
                : tl::expected<config::versioned_config, std::string>(tl::unexpect, version.error());
    if (!decoded) {
        m_events.emit(event_number::config_undecodable,
                      {{"detail", decoded.error()}, {"bytes", document.size()}});
        return activation::invalid;
    }
    const auto state = config::activate_config(*decoded, m_snapshot.get());
    if (!state) {
        m_events.emit(event_number::config_rejected,
                      {{"version", decoded->version.value}, {"detail", state.error()}});
        return activation::invalid;
    }
    m_version = decoded->version;
    m_snapshot = state->snapshot;
    m_sinks.activated(
        *state, std::make_shared<const routing::route_table>(routing::route_table::build(state->snapshot)));
    m_events.emit(event_number::config_applied,
                  {{"version", m_version.value}, {"routes", decoded->routes.size()}});
    if (m_newer && m_newer->version <= m_version) {
        m_newer.reset();
    }
    if (m_newer && m_fetches > 0) {
        // The peer makes progress, so it is asked again and soon.
        m_fetches = 1;
        m_fetch_at = std::min(m_fetch_at, m_last_fetch + min_fetch_interval);
    }
    return activation::activated;
}

void state_duty::handle(const newer_version_observed& message, common::steady_time now) {
    if (message.version <= m_version) {
        return;
    }
    if (!m_newer) {
        m_fetch_at = std::max(now + fetch_delay(), m_last_fetch + min_fetch_interval);
        m_fetches = 0;
        m_newer = message;
        return;
    }
    // The latest report is the best sign that a peer still runs. A peer from which a fetch failed is replaced
    // by a more distant one as well.
    const bool is_as_close = message.same_domain || !m_newer->same_domain;
    if (message.version > m_newer->version ||
        (message.version == m_newer->version && (is_as_close || m_fetches > 0))) {
        m_newer = message;
    }
}

void state_duty::handle(const reading_mode_changed& message, common::steady_time now) {
    m_mode = message.mode;
    reschedule_first_fetch(now);
}

void state_duty::handle(const platform_reachability& message, common::steady_time now) {
    m_platform_reachable = message.reachable;
    reschedule_first_fetch(now);
}

void state_duty::reschedule_first_fetch(common::steady_time now) {
    if (m_newer && m_fetches == 0) {
        m_fetch_at = std::min(m_fetch_at, now + fetch_delay());
    }
}

void state_duty::handle(const platform_read& message, common::steady_time) {
    if (m_sinks.confirmed) {
        m_sinks.confirmed(message.read_at);
    }
}

milliseconds state_duty::fetch_delay() {
    // A daemon without a configuration cannot serve calls, so it fetches at once.
    if (m_version.value == 0) {
        return milliseconds::zero();
    }
    const bool platform_may_deliver =
        std::holds_alternative<continuous_reading>(m_mode) && m_platform_reachable;
    return platform_may_deliver
               ? follower_fetch_delay
               : std::chrono::duration_cast<milliseconds>(m_random.jitter(max_request_jitter));
}

void state_duty::fetch_if_due(common::steady_time now) {
    if (!m_newer || now < m_fetch_at) {
        return;
    }
    if (m_fetches >= max_fetches) {
        m_newer.reset();
        return;
    }
    if (m_fetches > 0 && std::holds_alternative<reading_on_demand>(m_mode)) {
        m_sinks.read_platform();
    }
    ++m_fetches;
    m_last_fetch = now;
    m_fetch_at = now + fetch_retry_interval;
    m_sinks.fetch(m_newer->peer);
}

} // namespace boragehollow::daemon
