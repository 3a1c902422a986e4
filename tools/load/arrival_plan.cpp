#include "arrival_plan.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace boragehollow::load {

namespace {

using seconds = std::chrono::duration<double>;

} // namespace

const char* name_of(request_kind kind) {
    static constexpr std::array<const char*, kind_count> names{"short", "order", "long", "upload",
                                                               "download"};
    return names.at(static_cast<std::size_t>(kind));
}

const char* name_of(request_outcome outcome) {
    static constexpr std::array<const char*, outcome_count> names{"answered", "not_run", "unknown",
                                                                  "broken",   "wrong",   "not_sent"};
    return names.at(static_cast<std::size_t>(outcome));
}

arrival_plan::arrival_plan(const load_options& options, steady_time start)
    : m_options(options), m_start(start), m_random(options.seed) {}

double arrival_plan::rate_at(seconds offset) const {
    double rate = 0;
    for (const rate_step& step : m_options.steps) {
        if (step.at <= offset) {
            rate = step.per_second;
        }
    }
    return rate;
}

seconds arrival_plan::end_of_step(seconds offset) const {
    for (const rate_step& step : m_options.steps) {
        if (step.at > offset) {
            return step.at;
        }
    }
    return seconds::max();
}

std::optional<planned_request> arrival_plan::next() {
    // A gap that reaches beyond the current rate step is drawn again from the end of that step, at the new
    // rate.
    while (true) {
        if (m_offset >= m_options.duration || m_count >= m_options.max_requests) {
            return std::nullopt;
        }
        const double rate = rate_at(m_offset);
        const seconds end = std::min<seconds>(end_of_step(m_offset), m_options.duration);
        const seconds gap = rate > 0 ? seconds(-std::log(1.0 - m_random.fraction()) / rate) : seconds::max();
        if (gap >= end - m_offset) {
            m_offset = end;
            continue;
        }
        m_offset += gap;
        break;
    }
    planned_request request;
    request.id = m_random.identifier();
    request.kind = draw_kind();
    request.key = request.kind == request_kind::order ? m_random.identifier() : std::string();
    request.caller = draw_caller();
    request.server = m_count % m_options.servers.size();
    request.intended = m_start + std::chrono::duration_cast<common::steady_clock::duration>(m_offset);
    ++m_count;
    return request;
}

request_kind arrival_plan::draw_kind() {
    const request_mix& mix = m_options.mix;
    const std::array<double, kind_count> shares{mix.short_work, mix.order, mix.long_work, mix.upload,
                                                mix.download};
    double total = 0;
    for (const double share : shares) {
        total += share;
    }
    double drawn = m_random.fraction() * total;
    for (std::size_t kind = 0; kind < shares.size(); ++kind) {
        drawn -= shares.at(kind);
        if (drawn < 0) {
            return static_cast<request_kind>(kind);
        }
    }
    return request_kind::short_work;
}

std::string arrival_plan::draw_caller() {
    if (m_options.first_caller_share > 0 && m_random.fraction() < m_options.first_caller_share) {
        return "caller-0";
    }
    return "caller-" + std::to_string(m_random.index(m_options.callers));
}

} // namespace boragehollow::load
