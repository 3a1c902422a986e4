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

/// What is known of one background call or load.
struct work_progress {
    std::vector<call_answer> answers;
    std::optional<std::size_t> issued; ///< Known once the last call of the work was issued.

    bool finished() const { return issued && answers.size() >= *issued; }
};

/// Duty that owns the answers and samples of a scenario. The other duties send them through its ring.
class recorder {
public:
    recorder();
    ~recorder();

    recorder(const recorder&) = delete;
    recorder& operator=(const recorder&) = delete;

    void add_answer(const std::string& work, call_answer answer);
    void add_sample(daemon_sample sample);

    /// A work that has started counts as unfinished until its calls are issued and answered.
    void work_started(const std::string& work);
    void work_issued(const std::string& work, std::size_t calls);

    work_progress progress(const std::string& work);
    std::vector<std::string> unfinished_works();

    /// Answers and samples so far; the other members are empty.
    observations collected();

private:
    struct answer_message {
        std::string work;
        call_answer answer;
    };
    struct issued_message {
        std::string work;
        std::optional<std::size_t> calls;
    };
    struct progress_query {
        std::string work;
        common::reply_slot<work_progress> reply;
    };
    struct unfinished_query {
        common::reply_slot<std::vector<std::string>> reply;
    };
    struct collected_query {
        common::reply_slot<observations> reply;
    };
    using message = std::variant<answer_message, daemon_sample, issued_message, progress_query,
                                 unfinished_query, collected_query>;

    void run();
    void handle(message& received);
    void send(message sent);

    std::map<std::string, work_progress> m_works; ///< Owned by the duty, as the samples are.
    std::vector<daemon_sample> m_samples;
    common::bounded_ring<message> m_ring;
    common::duty m_duty;
};

} // namespace boragehollow::scenario
