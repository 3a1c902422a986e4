#include "recorder.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <chrono>
#include <utility>

namespace boragehollow::scenario {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t ring_size = 65'536;

/// The duty only stores values, so it answers at once; a longer wait means that it has ended.
constexpr auto patience = 10s;

} // namespace

recorder::recorder() : m_ring(ring_size), m_duty("recorder", [this](const std::stop_token&) { run(); }) {}

recorder::~recorder() {
    m_ring.close();
}

void recorder::add_answer(const std::string& work, call_answer answer) {
    send(answer_message{work, std::move(answer)});
}

void recorder::add_sample(daemon_sample sample) {
    send(std::move(sample));
}

void recorder::work_started(const std::string& work) {
    send(issued_message{work, std::nullopt});
}

void recorder::work_issued(const std::string& work, std::size_t calls) {
    send(issued_message{work, calls});
}

work_progress recorder::progress(const std::string& work) {
    progress_query query{work, {}};
    const auto reply = query.reply;
    send(std::move(query));
    return reply.wait_until(common::steady_clock::now() + patience).value_or(work_progress{});
}

std::vector<std::string> recorder::unfinished_works() {
    unfinished_query query;
    const auto reply = query.reply;
    send(std::move(query));
    return reply.wait_until(common::steady_clock::now() + patience).value_or(std::vector<std::string>{});
}

observations recorder::collected() {
    collected_query query;
    const auto reply = query.reply;
    send(std::move(query));
    return reply.wait_until(common::steady_clock::now() + patience).value_or(observations{});
}

void recorder::send(message sent) {
    // An answer that is lost would hide a broken promise, so a full ring makes the sender wait.
    m_ring.push_until(std::move(sent), common::steady_clock::now() + patience);
}

void recorder::run() {
    while (auto received = m_ring.pop()) {
        handle(*received);
    }
}

void recorder::handle(message& received) {
    const auto visitor = common::overloaded{
        [&](answer_message& each) { m_works[each.work].answers.push_back(std::move(each.answer)); },
        [&](daemon_sample& each) { m_samples.push_back(std::move(each)); },
        [&](issued_message& each) { m_works[each.work].issued = each.calls; },
        [&](progress_query& each) { each.reply.set(m_works[each.work]); },
        [&](unfinished_query& each) {
            std::vector<std::string> names;
            for (const auto& [name, work] : m_works) {
                if (!work.finished()) {
                    names.push_back(name);
                }
            }
            each.reply.set(std::move(names));
        },
        [&](collected_query& each) {
            observations seen;
            seen.samples = m_samples;
            for (const auto& [name, work] : m_works) {
                seen.answers.insert(seen.answers.end(), work.answers.begin(), work.answers.end());
            }
            each.reply.set(std::move(seen));
        },
    };
    std::visit(visitor, received);
}

} // namespace boragehollow::scenario
