#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/endpoint.hpp"
#include "boragehollow/common/random_source.hpp"
#include "boragehollow/scenario/statement.hpp"
#include "recorder.hpp"

#include <memory>
#include <string>
#include <vector>

namespace boragehollow::scenario {

/// Daemon that takes a call, by name and address.
struct call_entrance {
    std::string daemon;
    common::endpoint address;
};

/// Sends calls in the background: one pacer duty for each load, and worker duties that each hold one call.
class call_desk {
public:
    explicit call_desk(recorder& answers);
    ~call_desk();

    call_desk(const call_desk&) = delete;
    call_desk& operator=(const call_desk&) = delete;

    /// Sends one call; its answer goes to the recorder under the name `work`.
    void send(const std::string& work, const call_plan& plan, const call_entrance& entrance,
              const std::string& id);

    /// Sends calls at a steady rate, however long their answers take.
    void run_load(const load_statement& load, std::vector<call_entrance> entrances, std::uint64_t seed);

private:
    struct job {
        std::string work;
        call_plan plan;
        call_entrance entrance;
        std::string id;
    };

    void work_off(const std::stop_token& stop);
    void pace(const load_statement& load, const std::vector<call_entrance>& entrances, std::uint64_t seed,
              const std::stop_token& stop);
    void enqueue(const job& next);

    recorder& m_answers;
    common::bounded_ring<job> m_jobs;
    std::vector<std::unique_ptr<common::duty>> m_workers;
    std::vector<std::unique_ptr<common::duty>> m_pacers;
};

/// Stands in the ring of the call desk and in the recorder for a call that could not be sent.
call_answer unsent_answer(const call_plan& plan, const std::string& id, const std::string& daemon);

} // namespace boragehollow::scenario
