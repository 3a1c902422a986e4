#include "boragehollow/rollout/coordinator.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace boragehollow::rollout {

namespace {

using std::chrono::duration_cast;

/// Part of `max_share` that the calls admitted so far may take. The rest covers calls that are not counted
/// yet.
constexpr double used_part_of_share = 0.8;
constexpr double usual_share = 0.08;
/// Largest share while the version is observed, where the service has few calls.
constexpr double max_observing_share = 0.2;
/// Responses that an observation should yield where the service has few calls.
constexpr double wanted_responses = 240;

/// A target that has just started is slow, whatever its version.
constexpr milliseconds max_warm_up{3'500};
constexpr int warm_up_divisor = 4;

/// Time before the deadline at which the ramp begins at the latest: its steps, the end of the old targets'
/// calls, and a margin for reports and the record.
constexpr milliseconds ramp_lead{5'500};
constexpr milliseconds min_step{600};
constexpr std::array<std::uint32_t, 3> ramp_permille{250, 500, 1'000};

/// Time before the deadline at which a roll-out that is not complete is rolled back.
constexpr milliseconds completing_margin{1'000};
constexpr milliseconds deadline_margin{400};

/// Responses that each usual route needs for a good verdict, and the share of the calls that makes a route
/// usual.
constexpr std::uint64_t min_responses = 30;
constexpr double usual_route_share = 0.01;
constexpr std::uint64_t min_step_responses = 5;

/// A version is bad where its bad responses would be this improbable for a good one. The test is repeated on
/// several routes several times a second.
constexpr double bad_surprise = 16;
/// What the other targets must show when the worst one is left out.
constexpr double agreeing_surprise = 4;
constexpr std::uint64_t min_bad_responses = 5;

/// Length of the window in which a version that became bad shows it.
constexpr milliseconds recent_window{1'500};

constexpr std::uint64_t takeover_sequence_step = 1'000'000;

counts_by_route sum_of(const std::map<std::string, counts_by_route>& candidates,
                       const std::string& left_out = {}) {
    counts_by_route sum;
    for (const auto& [host, counts] : candidates) {
        if (host != left_out) {
            sum += counts;
        }
    }
    return sum;
}

} // namespace

std::string_view to_string(rollback_reason reason) {
    switch (reason) {
    case rollback_reason::none:
        return "none";
    case rollback_reason::bad_responses:
        return "bad_responses";
    case rollback_reason::deadline:
        return "deadline";
    case rollback_reason::old_targets_busy:
        return "old_targets_busy";
    }
    return "none";
}

coordinator::coordinator(coordinator_settings settings, std::string host, const order& requested,
                         steady_time ordered)
    : m_settings(settings), m_ordered(ordered), m_entered(ordered) {
    m_plan.service = requested.service;
    m_plan.version = requested.version;
    m_plan.position.order_offset = requested.offset;
    m_plan.position.sequence = 1;
    m_plan.coordinator = std::move(host);
    m_plan.allowed = requested.allowed;
}

void coordinator::resume(const plan& known) {
    const std::string own_host = m_plan.coordinator;
    m_plan = known;
    m_plan.coordinator = own_host;
    m_plan.position.sequence += takeover_sequence_step;
    m_status_recorded = is_final(known.position.current);
    // The reports are cumulative, so the evidence of the earlier coordinator counts, too.
    m_begin.emplace();
    ++m_revision;
}

void coordinator::resume(const stage_record& recorded) {
    const bool later = recorded.current > m_plan.position.current;
    if (recorded.order_offset != m_plan.position.order_offset || !later) {
        return;
    }
    if (recorded.current == stage::ramping) {
        m_plan.share_permille = ramp_permille.front();
    }
    m_plan.position.current = recorded.current;
    m_status_recorded = is_final(recorded.current);
    m_begin.emplace();
    changed(true);
}

void coordinator::set_targets(std::vector<version_target> targets) {
    m_targets = std::move(targets);
}

void coordinator::set_withheld(std::set<std::string> versions) {
    versions.erase(m_plan.version);
    if (versions == m_plan.withheld) {
        return;
    }
    m_plan.withheld = std::move(versions);
    changed(true);
}

void coordinator::record_report(const report& received, steady_time) {
    if (received.known.order_offset != m_plan.position.order_offset) {
        return;
    }
    target_counts& counts = m_counts[received.host];
    if (counts.last.version != received.version) {
        counts = target_counts{};
    } else if (counts.last.process != received.process) {
        counts.earlier_admitted += counts.last.admitted;
        counts.earlier_routes += counts.last.routes;
    }
    counts.last = received;
}

void coordinator::record_final_status(stage status) {
    if (is_final(m_plan.position.current)) {
        return;
    }
    m_status_recorded = true;
    m_plan.position.current = status;
    m_plan.position.step = 0;
    m_plan.allowances.clear();
    m_plan.share_permille = status == stage::completed ? 1'000 : 0;
    changed(true);
}

void coordinator::changed(bool for_all) {
    ++m_plan.position.sequence;
    m_revision += for_all ? 1 : 0;
}

void coordinator::enter(stage next, std::uint32_t step, std::uint32_t share_permille, steady_time now) {
    m_plan.position.current = next;
    m_plan.position.step = step;
    m_plan.share_permille = share_permille;
    if (next != stage::observing) {
        m_plan.allowances.clear();
    }
    m_entered = now;
    m_step_begin = take_snapshot(now);
    changed(true);
}

void coordinator::roll_back(rollback_reason reason, steady_time now) {
    m_reason = reason;
    enter(stage::rolling_back, 0, 0, now);
}

bool coordinator::takes_part(const version_target& target) const {
    return target.ready && !m_plan.withheld.contains(target.version);
}

std::size_t coordinator::count_targets(bool new_version) const {
    return static_cast<std::size_t>(std::ranges::count_if(m_targets, [&](const version_target& target) {
        return takes_part(target) && is_new(target) == new_version;
    }));
}

std::uint64_t coordinator::admitted_new() const {
    std::uint64_t sum = 0;
    for (const auto& [host, counts] : m_counts) {
        sum += counts.last.version == m_plan.version ? counts.admitted() : 0;
    }
    return sum;
}

std::uint64_t coordinator::admitted_total() const {
    std::uint64_t sum = 0;
    for (const auto& [host, counts] : m_counts) {
        sum += counts.admitted();
    }
    return sum;
}

milliseconds coordinator::warm_up() const {
    return std::min(max_warm_up, m_plan.allowed / warm_up_divisor);
}

/// Time from which a good version is taken into use.
steady_time coordinator::decision_time() const {
    const milliseconds half = m_plan.allowed / 2;
    if (m_order_waiting) {
        return m_ordered + half;
    }
    return m_ordered + std::max(half, m_plan.allowed - ramp_lead);
}

coordinator::snapshot coordinator::take_snapshot(steady_time now) const {
    snapshot result;
    result.time = now;
    for (const auto& [host, counts] : m_counts) {
        counts_by_route routes = counts.earlier_routes;
        routes += counts.last.routes;
        if (counts.last.version != m_plan.version) {
            result.old += routes;
            continue;
        }
        if (!m_left_out.contains(host)) {
            result.candidates.emplace(host, std::move(routes));
        }
    }
    return result;
}

bool coordinator::version_is_bad(const snapshot& latest, const snapshot& since) {
    const counts_by_route old = rollout::since(latest.old, since.old);
    std::map<std::string, counts_by_route> candidates;
    std::string worst;
    std::uint64_t worst_bad = 0;
    for (const auto& [host, counts] : latest.candidates) {
        const auto before = since.candidates.find(host);
        counts_by_route own =
            before == since.candidates.end() ? counts : rollout::since(counts, before->second);
        const comparison result = compare(own, old);
        if (result.bad > worst_bad) {
            worst = host;
            worst_bad = result.bad;
        }
        candidates.emplace(host, std::move(own));
    }
    const comparison all = compare(sum_of(candidates), old);
    m_bad = std::max(m_bad, all.bad);
    if (all.bad < min_bad_responses || all.surprise < bad_surprise) {
        return false;
    }
    if (count_targets(true) <= 1) {
        return true;
    }
    const comparison others = compare(sum_of(candidates, worst), old);
    if (others.surprise >= agreeing_surprise) {
        return true;
    }
    // One target alone is bad, so another one takes its place.
    const bool replaceable = m_plan.position.current == stage::observing;
    if (replaceable && m_left_out.insert(worst).second) {
        m_plan.allowances.erase(worst);
        changed(true);
    }
    return false;
}

bool coordinator::evidence_is_sufficient(const snapshot& latest) const {
    if (!m_begin) {
        return false;
    }
    counts_by_route candidates = since(sum_of(latest.candidates), sum_of(m_begin->candidates));
    const counts_by_route old = since(latest.old, m_begin->old);
    std::uint64_t all = 0;
    for (const auto& [route, counts] : old) {
        all += counts.responses();
    }
    if (all == 0) {
        return false;
    }
    return std::ranges::all_of(old, [&](const auto& entry) {
        const bool usual =
            static_cast<double>(entry.second.responses()) >= usual_route_share * static_cast<double>(all);
        return !usual || candidates[entry.first].responses() >= min_responses;
    });
}

void coordinator::choose_canaries(steady_time now) {
    const std::size_t old_targets = count_targets(false);
    const double share = std::max(usual_share, m_plan.share_permille / 1'000.0);
    const auto wanted = std::max<std::size_t>(
        2, static_cast<std::size_t>(std::lround(share * static_cast<double>(old_targets))));
    std::set<std::string> usable;
    for (const version_target& target : m_targets) {
        const bool warm = now - target.known_since >= warm_up();
        if (is_new(target) && takes_part(target) && warm && !m_left_out.contains(target.host)) {
            usable.insert(target.host);
        }
    }
    const std::size_t lost =
        std::erase_if(m_plan.allowances, [&](const auto& entry) { return !usable.contains(entry.first); });
    bool added = false;
    for (const std::string& host : usable) {
        if (m_plan.allowances.size() >= wanted) {
            break;
        }
        added = m_plan.allowances.emplace(host, 0).second || added;
    }
    if (added || lost > 0) {
        changed(true);
    }
}

/// A service with many calls gives enough evidence at the usual share. Others use what the calls before the
/// first target of the version took any have left.
void coordinator::update_share(steady_time now) {
    if (m_plan.allowances.empty()) {
        m_plan.share_permille = 0;
        return;
    }
    if (m_plan.share_permille > 0) {
        return;
    }
    const auto elapsed = std::max(1.0, std::chrono::duration<double, std::milli>(now - m_ordered).count());
    const double per_ms = static_cast<double>(admitted_total()) / elapsed;
    const auto window =
        std::max(1'000.0, std::chrono::duration<double, std::milli>(decision_time() - now).count());
    const double needed = per_ms > 0 ? wanted_responses / (per_ms * window) : max_observing_share;
    const double left = used_part_of_share * m_settings.max_share * (elapsed + window) / window;
    const double share = std::clamp(std::min(needed, left), usual_share, max_observing_share);
    m_plan.share_permille = static_cast<std::uint32_t>(std::lround(share * 1'000));
    changed(true);
}

/// Grants the calls that the calls counted so far allow. What the reports do not contain yet is at most
/// what was granted before, so that the sum of the allowances never exceeds the bound.
void coordinator::hand_out_allowances() {
    if (m_plan.allowances.empty()) {
        return;
    }
    const double bound = used_part_of_share * m_settings.max_share * static_cast<double>(admitted_total()) +
                         static_cast<double>(m_settings.share_slack) / 2;
    std::uint64_t granted = 0;
    for (const auto& [host, counts] : m_counts) {
        if (counts.last.version != m_plan.version) {
            continue;
        }
        // A target that lost its place may use its whole allowance before it hears of that.
        const auto last = m_granted.find(host);
        const bool chosen = m_plan.allowances.contains(host);
        const std::uint64_t possible = last == m_granted.end() ? 0 : last->second;
        granted += chosen ? counts.admitted() : std::max(counts.admitted(), possible);
    }
    const double rest = std::max(0.0, bound - static_cast<double>(granted));
    const auto each = static_cast<std::uint64_t>(rest / static_cast<double>(m_plan.allowances.size()));
    bool grown = false;
    for (auto& [host, allowance] : m_plan.allowances) {
        const auto counts = m_counts.find(host);
        // The gate counts the calls of its own process only.
        const std::uint64_t own = counts == m_counts.end() ? 0 : counts->second.last.admitted;
        const std::uint64_t next = own + each;
        grown = grown || next != allowance;
        allowance = next;
        m_granted[host] = next;
    }
    if (grown) {
        changed(false);
    }
}

void coordinator::observe(steady_time now) {
    const snapshot latest = take_snapshot(now);
    if (!m_begin && !m_plan.allowances.empty()) {
        m_begin = latest;
    }
    choose_canaries(now);
    update_share(now);
    hand_out_allowances();
    const bool due = now >= decision_time();
    // Without targets of other versions there is nothing to compare with and nothing to replace.
    const bool only_version = count_targets(false) == 0 && count_targets(true) > 0;
    if (due && (only_version || evidence_is_sufficient(latest))) {
        enter(stage::ramping, 0, ramp_permille.front(), now);
    }
}

void coordinator::ramp(steady_time now, const snapshot& latest) {
    const counts_by_route gained = since(sum_of(latest.candidates), sum_of(m_step_begin.candidates));
    std::uint64_t responses = 0;
    for (const auto& [route, counts] : gained) {
        responses += counts.responses();
    }
    if (now - m_entered < min_step || responses < min_step_responses) {
        return;
    }
    const std::uint32_t step = m_plan.position.step + 1;
    if (step < ramp_permille.size()) {
        enter(stage::ramping, step, ramp_permille.at(step), now);
        return;
    }
    enter(stage::completing, 0, 1'000, now);
}

bool coordinator::old_targets_idle() const {
    return std::ranges::all_of(m_targets, [&](const version_target& target) {
        if (is_new(target) || !target.alive) {
            return true;
        }
        const auto counts = m_counts.find(target.host);
        if (counts == m_counts.end()) {
            return false;
        }
        const report& last = counts->second.last;
        const bool closed = last.known.order_offset == m_plan.position.order_offset &&
                            last.known.current == stage::completing;
        return closed && last.running == 0;
    });
}

void coordinator::complete(steady_time now) {
    m_old_idle = m_old_idle || old_targets_idle();
    if (!m_old_idle && now >= deadline() - completing_margin) {
        roll_back(rollback_reason::old_targets_busy, now);
    }
}

void coordinator::tick(steady_time now) {
    const stage current = m_plan.position.current;
    if (current == stage::rolling_back || is_final(current)) {
        return;
    }
    const snapshot latest = take_snapshot(now);
    if (m_begin && (version_is_bad(latest, *m_begin) ||
                    (!m_recent.empty() && version_is_bad(latest, m_recent.front())))) {
        roll_back(rollback_reason::bad_responses, now);
        return;
    }
    m_recent.push_back(latest);
    while (m_recent.size() > 1 && now - m_recent.front().time > recent_window) {
        m_recent.pop_front();
    }
    const bool late = now >= deadline() - deadline_margin ||
                      (m_order_waiting && now >= decision_time() + min_step && current == stage::observing);
    if (late && current != stage::completing) {
        roll_back(rollback_reason::deadline, now);
        return;
    }
    if (current == stage::observing) {
        observe(now);
    } else if (current == stage::ramping) {
        ramp(now, latest);
    } else {
        complete(now);
    }
}

plan coordinator::plan_at(steady_time now) const {
    plan result = m_plan;
    result.elapsed = duration_cast<milliseconds>(now - m_ordered);
    return result;
}

std::optional<stage> coordinator::due_status() const {
    if (m_status_recorded) {
        return std::nullopt;
    }
    if (m_plan.position.current == stage::rolling_back) {
        return stage::rolled_back;
    }
    if (m_plan.position.current == stage::completing && m_old_idle) {
        return stage::completed;
    }
    return std::nullopt;
}

stage_record coordinator::record_at(common::wall_time wall, steady_time now) const {
    stage_record result;
    result.service = m_plan.service;
    result.version = m_plan.version;
    result.order_offset = m_plan.position.order_offset;
    result.current = m_plan.position.current;
    result.admitted = admitted_new();
    result.ordered = wall - duration_cast<milliseconds>(now - m_ordered);
    result.allowed = m_plan.allowed;
    return result;
}

} // namespace boragehollow::rollout
