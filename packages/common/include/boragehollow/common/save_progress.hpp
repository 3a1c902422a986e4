#pragma once

#include "boragehollow/common/time.hpp"

#include <memory>

namespace boragehollow::common {

/// Progress of saving something at several places, of which one suffices. Copies share it.
class save_progress {
    struct state;

public:
    /// One place. It has failed when the last reference to it goes without a success.
    class attempt {
    public:
        explicit attempt(std::shared_ptr<state> shared);
        ~attempt();
        attempt(const attempt&) = delete;
        attempt& operator=(const attempt&) = delete;

        void succeed() const;

    private:
        std::shared_ptr<state> m_state;
    };
    using attempt_ref = std::shared_ptr<const attempt>;

    save_progress();

    attempt_ref begin() const;

    /// True as soon as one place has succeeded; false once all have failed, and at the deadline.
    bool wait_until(steady_time deadline) const;
    bool succeeded() const;

private:
    std::shared_ptr<state> m_state;
};

} // namespace boragehollow::common
