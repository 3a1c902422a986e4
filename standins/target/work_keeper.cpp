#include "work_keeper.hpp"

#include <algorithm>
#include <utility>

namespace boragehollow::standin {

namespace {

constexpr milliseconds history_length{60'000};
constexpr milliseconds idle_wakeup{1'000};

} // namespace

work_keeper::work_keeper(const target_options& options, steady_time now)
    : m_options(options), m_started(now), m_ledger(options.ledger_entries) {}

void work_keeper::handle(keeper_message message, steady_time now) {
    std::visit([this, now](auto& concrete) { on(std::move(concrete), now); }, message);
    remember_load(now);
}

void work_keeper::on(enter_work message, steady_time now) {
    if (true_state(now) == "starting") {
        ++m_ledger.counts().refused;
        message.reply.set(entry_refusal::starting);
        return;
    }
    const bool room = m_in_use < m_options.slots || m_queue.size() < m_options.queue;
    if (m_switches.shed || !room) {
        ++m_ledger.counts().shed;
        message.reply.set(entry_refusal::shed);
        return;
    }
    message.deadline = std::min(message.deadline, now + m_options.queue_max_wait);
    m_queue.push_back(std::move(message));
    start_waiting(now);
}

void work_keeper::start_waiting(steady_time now) {
    while (!m_queue.empty()) {
        enter_work& first = m_queue.front();
        if (first.deadline <= now) {
            ++m_ledger.counts().late;
            first.reply.set(entry_refusal::late);
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

void work_keeper::start(enter_work& message, steady_time now) {
    const auto take_one = [](std::uint32_t& count) { return count > 0 && count-- > 0; };
    if (m_slow_until && now >= *m_slow_until) {
        m_switches.slow_factor = 1.0;
        m_slow_until.reset();
    }
    entry_grant grant;
    grant.number = m_next_number;
    grant.slow_factor = m_switches.slow_factor;
    grant.fail = take_one(m_switches.fail_next);
    grant.die = take_one(m_switches.die_next);
    grant.exit_on_die = m_switches.exit_on_die;
    if (!message.reply.set(grant)) {
        return; // The worker gave up.
    }
    ++m_next_number;
    ++m_in_use;
    message.entry.number = grant.number;
    message.entry.start = common::wall_now();
    m_ledger.counts().begun_draining += m_switches.drain ? 1 : 0;
    m_ledger.begin(std::move(message.entry));
}

void work_keeper::on(const leave_work& message, steady_time now) {
    --m_in_use;
    m_ledger.end(message.number, message.state, message.received, common::wall_now());
    start_waiting(now);
}

void work_keeper::on(const change_switches& message, steady_time now) {
    message.apply(m_switches);
    m_slow_until.reset();
    if (m_switches.slow_for.count() > 0) {
        m_slow_until = now + m_switches.slow_for;
    }
    message.reply.set(m_switches);
}

void work_keeper::on(const read_report& message, steady_time now) {
    const std::string state = m_switches.state.value_or(true_state(now));
    message.reply.set({state, reported_load(now), m_options.slots, m_switches.silent, m_in_use});
}

void work_keeper::on(const read_ledger& message, steady_time now) {
    (void)now;
    message.reply.set(m_ledger);
}

std::string work_keeper::true_state(steady_time now) const {
    if (m_switches.drain) {
        return "draining";
    }
    return now - m_started < m_options.cold_start ? "starting" : "ready";
}

load_figures work_keeper::reported_load(steady_time now) const {
    if (m_switches.lie) {
        return *m_switches.lie;
    }
    load_figures latest{m_in_use, static_cast<std::uint32_t>(m_queue.size())};
    if (m_switches.load_lag.count() == 0) {
        return latest;
    }
    load_figures lagging;
    for (const auto& [time, figures] : m_history) {
        if (time > now - m_switches.load_lag) {
            break;
        }
        lagging = figures;
    }
    return lagging;
}

void work_keeper::remember_load(steady_time now) {
    const load_figures latest{m_in_use, static_cast<std::uint32_t>(m_queue.size())};
    // One figure for each 10 ms is enough for a lag of seconds.
    if (!m_history.empty() && now - m_history.back().first < milliseconds(10)) {
        m_history.back().second = latest;
        return;
    }
    m_history.emplace_back(now, latest);
    while (now - m_history.front().first > history_length) {
        m_history.pop_front();
    }
}

void work_keeper::tick(steady_time now) {
    const auto late = [now](const enter_work& message) { return message.deadline <= now; };
    for (const enter_work& message : m_queue) {
        if (late(message)) {
            ++m_ledger.counts().late;
            message.reply.set(entry_refusal::late);
        }
    }
    std::erase_if(m_queue, late);
}

steady_time work_keeper::next_wakeup(steady_time now) const {
    steady_time next = now + idle_wakeup;
    for (const enter_work& message : m_queue) {
        next = std::min(next, message.deadline);
    }
    return next;
}

std::function<void(std::stop_token)> keeper_loop(const target_options& options, keeper_ring& ring) {
    return [options, &ring](const std::stop_token&) {
        work_keeper keeper(options, common::steady_clock::now());
        while (true) {
            auto message = ring.pop_until(keeper.next_wakeup(common::steady_clock::now()));
            const steady_time now = common::steady_clock::now();
            if (message) {
                keeper.handle(std::move(*message), now);
            } else if (ring.closed()) {
                return;
            }
            keeper.tick(now);
        }
    };
}

} // namespace boragehollow::standin
