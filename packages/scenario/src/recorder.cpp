#include "recorder.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <chrono>
#include <utility>

namespace boragehollow::scenario {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t ring_capacity = 65'536;

/// The duty only stores values and replies at once, so a timeout means that it has ended.
constexpr auto query_timeout = 10s;

} // namespace

recorder::recorder() : m_ring(ring_capacity), m_duty("recorder", [this](const std::stop_token&) { run(); }) {}

recorder::~recorder() {
    m_ring.close();
}

void recorder::add_result(const std::string& workload, call_result result) {
    send(result_message{workload, std::move(result)});
}

void recorder::add_sample(daemon_sample sample) {
    send(std::move(sample));
}

void recorder::workload_started(const std::string& workload) {
    send(issued_message{workload, std::nullopt});
}

void recorder::workload_issued(const std::string& workload, std::size_t calls) {
    send(issued_message{workload, calls});
}

workload_progress recorder::progress(const std::string& workload) {
    progress_query query{workload, {}};
    const auto reply = query.reply;
    send(std::move(query));
    return reply.wait_until(common::steady_clock::now() + query_timeout).value_or(workload_progress{});
}

std::vector<std::string> recorder::unfinished_workloads() {
    unfinished_query query;
    const auto reply = query.reply;
    send(std::move(query));
    return reply.wait_until(common::steady_clock::now() + query_timeout).value_or(std::vector<std::string>{});
}

observations recorder::collected() {
    collected_query query;
    const auto reply = query.reply;
    send(std::move(query));
    return reply.wait_until(common::steady_clock::now() + query_timeout).value_or(observations{});
}

void recorder::send(message sent) {
    // A dropped result could hide the violation of a guarantee, so the sender waits while the ring is full.
    m_ring.push_until(std::move(sent), common::steady_clock::now() + query_timeout);
}

void recorder::run() {
    while (auto received = m_ring.pop()) {
        handle(*received);
    }
}

void recorder::handle(message& received) {
    const auto visitor = common::overloaded{
        [&](result_message& each) { m_workloads[each.workload].results.push_back(std::move(each.result)); },
        [&](daemon_sample& each) { m_samples.push_back(std::move(each)); },
        [&](issued_message& each) { m_workloads[each.workload].issued = each.calls; },
        [&](progress_query& each) { each.reply.set(m_workloads[each.workload]); },
        [&](unfinished_query& each) {
            std::vector<std::string> names;
            for (const auto& [name, workload] : m_workloads) {
                if (!workload.finished()) {
                    names.push_back(name);
                }
            }
            each.reply.set(std::move(names));
        },
        [&](collected_query& each) {
            observations observed;
            observed.samples = m_samples;
            for (const auto& [name, workload] : m_workloads) {
                observed.results.insert(observed.results.end(), workload.results.begin(),
                                        workload.results.end());
            }
            each.reply.set(std::move(observed));
        },
    };
    std::visit(visitor, received);
}

} // namespace boragehollow::scenario
