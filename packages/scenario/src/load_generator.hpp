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

/// Daemon that receives a call: its name and its address for callers.
struct call_entry_point {
    std::string daemon;
    common::endpoint address;
};

/// Sends calls in the background. Each load has a pacer duty that puts its calls into a bounded queue, and
/// each worker duty performs one call at a time.
class load_generator {
public:
    explicit load_generator(recorder& results);
    ~load_generator();

    load_generator(const load_generator&) = delete;
    load_generator& operator=(const load_generator&) = delete;

    /// Sends one call. Its result is recorded under the name `workload`.
    void send(const std::string& workload, const call_plan& plan, const call_entry_point& entry_point,
              const std::string& id);

    /// Sends calls at a constant rate, independent of their response times.
    void run_load(const load_statement& load, std::vector<call_entry_point> entry_points, std::uint64_t seed);

private:
    struct queued_call {
        std::string workload;
        call_plan plan;
        call_entry_point entry_point;
        std::string id;
    };

    void run_worker(const std::stop_token& stop);
    void run_pacer(const load_statement& load, const std::vector<call_entry_point>& entry_points,
                   std::uint64_t seed, const std::stop_token& stop);
    void enqueue(const queued_call& next);

    recorder& m_recorder;
    common::bounded_ring<queued_call> m_call_queue;
    std::vector<std::unique_ptr<common::duty>> m_workers;
    std::vector<std::unique_ptr<common::duty>> m_pacers;
};

/// Result that is recorded for a call that was not sent because the queue was full.
call_result unsent_result(const call_plan& plan, const std::string& id, const std::string& daemon);

} // namespace boragehollow::scenario
