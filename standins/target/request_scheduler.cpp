#include "request_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::standin {

namespace {

constexpr milliseconds load_history_duration{60'000};
constexpr milliseconds idle_wakeup_interval{1'000};

} // namespace

request_scheduler::request_scheduler(const target_options& options, steady_time now)
    : m_options(options), m_started(now), m_ledger(options.ledger_entries) {}

void request_scheduler::handle(scheduler_message message, steady_time now) {
    std::visit([this, now](auto& concrete) { on(std::move(concrete), now); }, message);
    record_load(now);
}

void request_scheduler::on(start_request message, steady_time now) {
    if (actual_state(now) == "starting") {
        ++m_ledger.counts().refused;
        message.reply.set(refusal_reason::starting);
        return;
    }
    const bool has_room = m_in_use < m_options.slots || m_queue.size() < m_options.queue;
    if (m_switches.shed || !has_room) {
        ++m_ledger.counts().shed;
        message.reply.set(refusal_reason::shed);
        return;
    }
    message.deadline = std::min(message.deadline, now + m_options.queue_max_wait);
    m_queue.push_back(std::move(message));
    start_queued(now);
}

void request_scheduler::start_queued(steady_time now) {
    while (!m_queue.empty()) {
        start_request& first = m_queue.front();
        if (first.deadline <= now) {
            ++m_ledger.counts().late;
            first.reply.set(refusal_reason::late);
            m_queue.pop_front();
            continue;
        }
        if (m_in_use >= m_options.slots) {
            return;
        }
        start(first, now);
        m_queue.pop_front();
    }
}

void request_scheduler::start(start_request& message, steady_time now) {
    const auto take_one = [](std::uint32_t& count) { return count > 0 && count-- > 0; };
    if (m_slow_until && now >= *m_slow_until) {
        m_switches.slow_factor = 1.0;
        m_slow_until.reset();
    }
    execution_grant grant;
    grant.number = m_next_number;
    grant.slow_factor = m_switches.slow_factor;
    grant.fail = take_one(m_switches.fail_next);
    grant.die = take_one(m_switches.die_next);
    grant.exit_on_die = m_switches.exit_on_die;
    if (!message.reply.set(grant)) {
        return; // The server thread no longer waits for the reply.
    }
    ++m_next_number;
    ++m_in_use;
    message.entry.number = grant.number;
    message.entry.start = common::wall_now();
    m_ledger.counts().begun_draining += m_switches.drain ? 1 : 0;
    m_ledger.begin(std::move(message.entry));
}

void request_scheduler::on(const end_request& message, steady_time now) {
    --m_in_use;
    m_ledger.end(message.number, message.state, message.received, common::wall_now());
    start_queued(now);
}

void request_scheduler::on(const switch_change& message, steady_time now) {
    message.apply(m_switches);
    m_slow_until.reset();
    if (m_switches.slow_for.count() > 0) {
        m_slow_until = now + m_switches.slow_for;
    }
    message.reply.set(m_switches);
}

void request_scheduler::on(const status_query& message, steady_time now) {
    const std::string state = m_switches.state.value_or(actual_state(now));
    message.reply.set({state, reported_load(now), m_options.slots, m_switches.silent, m_in_use});
}

void request_scheduler::on(const ledger_query& message, steady_time now) {
    (void)now;
    message.reply.set(m_ledger);
}

std::string request_scheduler::actual_state(steady_time now) const {
    if (m_switches.drain) {
        return "draining";
    }
    return now - m_started < m_options.cold_start ? "starting" : "ready";
}

load_values request_scheduler::reported_load(steady_time now) const {
    if (m_switches.lie) {
        return *m_switches.lie;
    }
    load_values latest{m_in_use, static_cast<std::uint32_t>(m_queue.size())};
    if (m_switches.load_lag.count() == 0) {
        return latest;
    }
    load_values lagging;
    for (const auto& [time, values] : m_load_history) {
        if (time > now - m_switches.load_lag) {
            break;
        }
        lagging = values;
    }
    return lagging;
}

void request_scheduler::record_load(steady_time now) {
    const load_values latest{m_in_use, static_cast<std::uint32_t>(m_queue.size())};
    // One value per 10 ms suffices, since the reported load lags by seconds.
    if (!m_load_history.empty() && now - m_load_history.back().first < milliseconds(10)) {
        m_load_history.back().second = latest;
        return;
    }
    m_load_history.emplace_back(now, latest);
    while (now - m_load_history.front().first > load_history_duration) {
        m_load_history.pop_front();
    }
}

void request_scheduler::tick(steady_time now) {
    const auto late = [now](const start_request& message) { return message.deadline <= now; };
    for (const start_request& message : m_queue) {
        if (late(message)) {
            ++m_ledger.counts().late;
            message.reply.set(refusal_reason::late);
        }
    }
    std::erase_if(m_queue, late);
}

steady_time request_scheduler::next_wakeup(steady_time now) const {
    steady_time next = now + idle_wakeup_interval;
    for (const start_request& message : m_queue) {
        next = std::min(next, message.deadline);
    }
    return next;
}

std::function<void(std::stop_token)> scheduler_loop(const target_options& options, scheduler_ring& ring) {
    return [options, &ring](const std::stop_token&) {
        request_scheduler scheduler(options, common::steady_clock::now());
        while (true) {
            auto message = ring.pop_until(scheduler.next_wakeup(common::steady_clock::now()));
            const steady_time now = common::steady_clock::now();
            if (message) {
                scheduler.handle(std::move(*message), now);
            } else if (ring.is_closed()) {
                return;
            }
            scheduler.tick(now);
        }
    };
}

} // namespace boragehollow::standin
