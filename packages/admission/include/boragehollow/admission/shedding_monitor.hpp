#pragma once

#include <cstdint>

namespace boragehollow::admission {

/// Recognizes a target that sheds calls although its daemon does not overload it, for instance since it is
/// unhealthy behind a passing health check.
///
/// A call that the target sheds counts as an arrival, and its next attempt as a retry, of which a service
/// allows few. A refusal by the target's daemon costs neither, so most calls are sent on to other targets. A
/// call that another shedding target has refused is admitted: all targets of the service may shed, and a part
/// of the calls runs all the same.
class shedding_monitor {
public:
    void record(bool shed);

    /// True when a call should be sent on to another target. Some calls are always admitted, to notice the
    /// end of the shedding.
    bool diverts_next_call();

    bool sheds() const;

    void reset() { *this = {}; }

private:
    double m_shed_share = 0;
    std::uint32_t m_diverted = 0; ///< Since the last admitted trial.
};

} // namespace boragehollow::admission
