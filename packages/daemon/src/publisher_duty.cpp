#include "boragehollow/daemon/publisher_duty.hpp"

#include "boragehollow/codec/change_codec.hpp"
#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/daemon/log_reader_duty.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::daemon {

namespace {

using std::chrono::milliseconds;
using telemetry::event_number;

constexpr std::size_t search_page_records = 256;

/// The duty replies at the deadline at the latest; the requesting thread waits this much longer for the
/// reply.
constexpr milliseconds reply_grace_period{250};

/// Wait while nothing is due. A pending verdict is decided when `config_changed` reports the record as
/// applied, or else at the change's deadline.
constexpr std::chrono::hours max_idle_wait{1};

} // namespace

publisher_duty::publisher_duty(streams::log_client client, settings::platform_settings settings,
                               common::random_source random, std::size_t ring_size,
                               const telemetry::event_log& events)
    : m_client(std::move(client)), m_settings(std::move(settings)), m_random(random), m_events(events),
      m_ring(ring_size), m_thread("publisher", [this](const std::stop_token&) { run(); }) {}

publisher_duty::~publisher_duty() {
    stop();
}

void publisher_duty::stop() {
    m_ring.close();
    m_thread.join();
}

publish_result publisher_duty::publish(config::change change, common::steady_time deadline) {
    publish_change message{std::move(change), deadline, {}};
    const auto reply = message.reply;
    if (!m_ring.try_push(publisher_message(std::move(message)))) {
        return change_not_appended{"too many changes are being published by this daemon"};
    }
    auto result = reply.wait_until(deadline + reply_grace_period);
    return result ? std::move(*result) : publish_result(change_unknown{"no verdict before the deadline"});
}

void publisher_duty::run() {
    while (true) {
        auto message = m_ring.pop_until(next_due());
        if (message) {
            std::visit([&](auto& concrete) { handle(concrete); }, *message);
        } else if (m_ring.is_closed()) {
            break;
        }
        advance_due(common::steady_clock::now());
    }
    for (pending_change& pending : m_pending) {
        finish(pending, give_up_result(pending, "this daemon is stopping"));
    }
}

void publisher_duty::handle(publish_change& message) {
    if (auto known = known_verdict(message.change.change_id)) {
        message.reply.set(std::move(*known));
        return;
    }
    auto record = codec::encode_change(message.change);
    if (!record) {
        message.reply.set(change_not_appended{codec::to_string(codec::decode_error(record.error()))});
        return;
    }
    pending_change added;
    added.change_id = message.change.change_id;
    added.record = std::move(*record);
    added.deadline = message.deadline;
    added.reply = message.reply;
    added.base = m_snapshot->version;
    added.due = common::steady_clock::now();
    added.backoff = m_settings.min_backoff;
    m_pending.push_back(std::move(added));
}

void publisher_duty::handle(const config_changed& message) {
    m_snapshot = message.snapshot;
    const common::steady_time now = common::steady_clock::now();
    for (pending_change& pending : m_pending) {
        pending.due = std::min(pending.due, now);
    }
}

common::steady_time publisher_duty::next_due() const {
    common::steady_time next = common::steady_clock::now() + max_idle_wait;
    for (const pending_change& pending : m_pending) {
        next = std::min({next, pending.due, pending.deadline});
    }
    return next;
}

/// Advances each change by at most one step, so that one slow change does not delay the others for long.
void publisher_duty::advance_due(common::steady_time now) {
    for (auto item = m_pending.begin(); item != m_pending.end();) {
        const bool due = now >= std::min(item->due, item->deadline);
        auto result = due ? advance(*item, now) : std::nullopt;
        if (!result) {
            ++item;
            continue;
        }
        finish(*item, std::move(*result));
        item = m_pending.erase(item);
    }
}

std::optional<publish_result> publisher_duty::advance(pending_change& pending, common::steady_time now) {
    if (auto known = known_verdict(pending.change_id)) {
        return known;
    }
    if (now >= pending.deadline) {
        return give_up_result(pending, "no verdict before the deadline");
    }
    return std::visit([&](auto& state) { return run_step(pending, state); }, pending.next);
}

std::optional<publish_result> publisher_duty::run_step(pending_change& pending, appending& /*state*/) {
    const auto offset =
        streams::append(m_client, config_stream, pending.record, remaining_request_timeout(pending));
    if (offset) {
        m_events.emit(event_number::append_accepted,
                      {{"change", pending.change_id}, {"version", offset->value}});
        pending.next = awaiting_verdict{*offset};
        pending.due = common::steady_clock::now() + max_idle_wait;
        return std::nullopt;
    }
    const streams::log_error& error = offset.error();
    if (streams::may_have_appended(error)) {
        m_events.emit(event_number::append_answer_lost,
                      {{"change", pending.change_id}, {"detail", error.detail}});
        pending.may_be_appended = true;
        pending.next = searching{pending.base};
        pending.due = common::steady_clock::now();
        return std::nullopt;
    }
    m_events.emit(event_number::append_refused, {{"change", pending.change_id}, {"detail", error.detail}});
    if (!pending.may_be_appended) {
        return change_not_appended{error.detail};
    }
    pending.next = searching{pending.base};
    wait_before_retry(pending);
    return std::nullopt;
}

std::optional<publish_result> publisher_duty::run_step(pending_change& pending, searching& state) {
    const auto page =
        streams::read(m_client, {config_stream, state.position.next(), search_page_records, milliseconds(0)},
                      remaining_request_timeout(pending));
    if (!page) {
        wait_before_retry(pending);
        return std::nullopt;
    }
    if (const auto at = find_record(*page, pending.change_id)) {
        m_events.emit(event_number::append_found_again,
                      {{"change", pending.change_id}, {"version", at->value}});
        pending.next = awaiting_verdict{*at};
        pending.due = common::steady_clock::now() + max_idle_wait;
        return std::nullopt;
    }
    const common::revision last =
        page->records.empty() ? page->next_offset : page->records.back().offset.next();
    if (last < page->next_offset) {
        state.position = page->records.back().offset;
        return std::nullopt;
    }
    // The lost append may still succeed later; the configuration state then rejects one of the two records as
    // a duplicate.
    pending.next = appending{};
    wait_before_retry(pending);
    return std::nullopt;
}

/// `advance` has already checked whether the verdict is known.
std::optional<publish_result> publisher_duty::run_step(pending_change& pending, awaiting_verdict& state) {
    if (m_snapshot->version >= state.at) {
        return change_unknown{"the record is at version " + std::to_string(state.at.value) +
                              ", but its verdict is no longer retained"};
    }
    pending.due = common::steady_clock::now() + max_idle_wait;
    return std::nullopt;
}

std::optional<publish_result> publisher_duty::known_verdict(const std::string& change_id) const {
    const config::change_outcome* outcome = m_snapshot->outcome_of(change_id);
    if (outcome == nullptr) {
        return std::nullopt;
    }
    return change_decided{outcome->at, outcome->result};
}

std::optional<common::revision> publisher_duty::find_record(const streams::log_page& page,
                                                            const std::string& change_id) const {
    for (const spreading::log_record& record : page.records) {
        const auto change = codec::decode_change(*record.bytes, m_snapshot->active_schema);
        if (change && change->change_id == change_id) {
            return record.offset;
        }
    }
    return std::nullopt;
}

void publisher_duty::wait_before_retry(pending_change& pending) {
    const auto jitter = std::chrono::duration_cast<milliseconds>(m_random.jitter(pending.backoff));
    pending.due = common::steady_clock::now() + pending.backoff + jitter;
    pending.backoff = std::min(pending.backoff * 2, m_settings.max_backoff);
}

milliseconds publisher_duty::remaining_request_timeout(const pending_change& pending) const {
    const auto left =
        std::chrono::duration_cast<milliseconds>(pending.deadline - common::steady_clock::now());
    return std::clamp(left, milliseconds(1), std::max(m_settings.request_timeout, milliseconds(1)));
}

void publisher_duty::finish(pending_change& pending, publish_result result) const {
    pending.reply.set(std::move(result));
}

publish_result publisher_duty::give_up_result(const pending_change& pending, const std::string& detail) {
    const bool in_stream = std::holds_alternative<awaiting_verdict>(pending.next);
    if (in_stream || pending.may_be_appended) {
        return change_unknown{detail};
    }
    return change_not_appended{detail};
}

} // namespace boragehollow::daemon
