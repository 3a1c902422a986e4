#pragma once

#include "boragehollow/common/bounded_ring.hpp"
#include "boragehollow/common/duty.hpp"
#include "boragehollow/common/reply_slot.hpp"
#include "boragehollow/scenario/observations.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace boragehollow::scenario {

/// Progress of one workload: a background call or a load.
struct workload_progress {
    std::vector<call_result> results;
    std::optional<std::size_t> issued; ///< Number of calls; known once the last call was issued.

    bool finished() const { return issued && results.size() >= *issued; }
};

/// Duty that owns the call results and status samples of a scenario, which other duties send through its
/// ring.
class recorder {
public:
    recorder();
    ~recorder();

    recorder(const recorder&) = delete;
    recorder& operator=(const recorder&) = delete;

    void add_result(const std::string& workload, call_result result);
    void add_sample(daemon_sample sample);

    /// A started workload is unfinished until all of its calls are issued and have a result.
    void workload_started(const std::string& workload);
    void workload_issued(const std::string& workload, std::size_t calls);

    workload_progress progress(const std::string& workload);
    std::vector<std::string> unfinished_workloads();

    /// Returns the results and samples so far; the other members are empty.
    observations collected();

private:
    struct result_message {
        std::string workload;
        call_result result;
    };
    struct issued_message {
        std::string workload;
        std::optional<std::size_t> calls;
    };
    struct progress_query {
        std::string workload;
        common::reply_slot<workload_progress> reply;
    };
    struct unfinished_query {
        common::reply_slot<std::vector<std::string>> reply;
    };
    struct collected_query {
        common::reply_slot<observations> reply;
    };
    using message = std::variant<result_message, daemon_sample, issued_message, progress_query,
                                 unfinished_query, collected_query>;

    void run();
    void handle(message& received);
    void send(message sent);

    std::map<std::string, workload_progress> m_workloads; ///< Accessed only by the duty, like the samples.
    std::vector<daemon_sample> m_samples;
    common::bounded_ring<message> m_ring;
    common::duty m_duty;
};

} // namespace boragehollow::scenario
