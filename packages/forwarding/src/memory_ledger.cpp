#include "boragehollow/forwarding/memory_ledger.hpp"

#include "boragehollow/common/scope_guard.hpp"

#include <utility>

namespace boragehollow::forwarding {

namespace {

/// Interval at which waiting leases check whether others have to be ended for them.
constexpr std::chrono::milliseconds wait_check_interval{100};

/// The event about memory is written at most once in this time.
constexpr std::chrono::seconds report_interval{10};

} // namespace

memory_lease::memory_lease(std::shared_ptr<memory_ledger> ledger, resources::holder_activity activity)
    : m_ledger(std::move(ledger)), m_id(m_ledger->m_budget.open(activity, common::steady_clock::now())) {
    m_ledger->m_leases.emplace(m_id.value, this);
}

memory_lease::~memory_lease() {
    m_ledger->m_leases.erase(m_id.value);
    m_ledger->apply(m_ledger->m_budget.close(m_id, common::steady_clock::now()));
}

std::optional<bool> memory_lease::try_acquire(std::size_t bytes) {
    if (m_evicted) {
        return false;
    }
    if (bytes <= m_bytes) {
        return true;
    }
    const auto result = m_ledger->m_budget.resize(m_id, bytes, common::steady_clock::now());
    if (result == resources::grant_result::waiting) {
        m_wanted_bytes = bytes;
        return std::nullopt;
    }
    if (result == resources::grant_result::too_large) {
        m_ledger->m_refusals.add();
        return false;
    }
    m_bytes = bytes;
    m_ledger->m_leased_bytes.set(static_cast<std::int64_t>(m_ledger->m_budget.used_bytes()));
    return true;
}

asio::awaitable<bool> memory_lease::acquire(std::size_t bytes) {
    if (const auto granted = try_acquire(bytes)) {
        co_return *granted;
    }
    const auto self = shared_from_this();
    asio::steady_timer timer(co_await asio::this_coro::executor);
    m_wait_timer = &timer;
    const common::scope_guard reset_timer([self] { self->m_wait_timer = nullptr; });
    m_granted.reset();
    m_ledger->m_waits.add();
    while (!m_granted) {
        timer.expires_after(wait_check_interval);
        error_code ignored;
        co_await timer.async_wait(redirect_error_to(ignored));
        if (!m_granted) {
            m_ledger->tick();
        }
    }
    co_return *m_granted;
}

void memory_lease::release_to(std::size_t bytes) {
    if (bytes >= m_bytes) {
        return;
    }
    // A smaller size is always granted.
    (void)m_ledger->m_budget.resize(m_id, bytes, common::steady_clock::now());
    m_bytes = bytes;
    m_ledger->m_leased_bytes.set(static_cast<std::int64_t>(m_ledger->m_budget.used_bytes()));
}

void memory_lease::set_activity(resources::holder_activity activity) {
    m_ledger->m_budget.set_activity(m_id, activity, common::steady_clock::now());
}

void memory_lease::record_progress(std::size_t bytes) {
    m_ledger->m_budget.record_progress(m_id, bytes, common::steady_clock::now());
}

memory_ledger::memory_ledger(const resources::memory_budget_settings& settings,
                             const telemetry::event_log& events, telemetry::metric_registry& metrics)
    : m_budget(settings), m_events(events),
      m_leased_bytes(
          metrics.add_gauge("boragehollow_memory_leased_bytes", "Memory that messages of others hold")),
      m_waits(metrics.add_counter("boragehollow_memory_waits_total",
                                  "Messages that were not read on at once, since the memory was taken")),
      m_refusals(metrics.add_counter("boragehollow_memory_refusals_total",
                                     "Messages refused, since no memory became free")),
      m_evictions(metrics.add_counter("boragehollow_memory_evictions_total",
                                      "Stalled or slow messages ended for others that waited")) {}

memory_lease_ptr memory_ledger::open(resources::holder_activity activity) {
    return std::make_shared<memory_lease>(shared_from_this(), activity);
}

void memory_ledger::tick() {
    // Each waiting lease asks for it.
    const common::steady_time now = common::steady_clock::now();
    if (now - m_last_tick < wait_check_interval / 2) {
        return;
    }
    m_last_tick = now;
    apply(m_budget.tick(now));
}

void memory_ledger::apply(const resources::memory_budget::effects& effects) {
    m_leased_bytes.set(static_cast<std::int64_t>(m_budget.used_bytes()));
    if (m_stopped) {
        return;
    }
    for (const resources::memory_effect& effect : effects) {
        std::visit([this](const auto& concrete) { handle(concrete); }, effect);
    }
}

void memory_ledger::handle(const resources::memory_granted& granted) {
    finish_wait(granted.id, true);
}

void memory_ledger::handle(const resources::memory_refused& refused) {
    m_refusals.add();
    report_pressure();
    finish_wait(refused.id, false);
}

void memory_ledger::handle(const resources::holder_evicted& evicted) {
    m_evictions.add();
    report_pressure();
    const auto found = m_leases.find(evicted.id.value);
    if (found == m_leases.end()) {
        return;
    }
    // The action may release the lease.
    const memory_lease_ptr lease = found->second->shared_from_this();
    lease->m_evicted = true;
    if (const auto action = std::exchange(lease->m_on_eviction, nullptr)) {
        action();
    }
}

void memory_ledger::finish_wait(resources::holder_id id, bool granted) {
    const auto found = m_leases.find(id.value);
    if (found == m_leases.end()) {
        return;
    }
    memory_lease& lease = *found->second;
    if (granted) {
        lease.m_bytes = lease.m_wanted_bytes;
    }
    lease.m_granted = granted;
    if (lease.m_wait_timer != nullptr) {
        lease.m_wait_timer->cancel();
    }
}

void memory_ledger::report_pressure() {
    ++m_ended_since_report;
    const common::steady_time now = common::steady_clock::now();
    if (now - m_last_report < report_interval) {
        return;
    }
    m_last_report = now;
    m_events.emit(telemetry::event_number::memory_pressure,
                  {{"leased_bytes", m_budget.used_bytes()},
                   {"waiting", m_budget.waiting()},
                   {"ended", std::exchange(m_ended_since_report, 0)}});
}

} // namespace boragehollow::forwarding
