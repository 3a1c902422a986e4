#pragma once

namespace boragehollow::admission {

/// Tells whether another target of a service is worth a detour around one that sheds calls. If most targets
/// shed, the detour costs a round trip and ends at another shedding target.
class shedding_outlook {
public:
    /// Records what the daemon of a target says about it: whether the target sheds calls.
    void record(bool target_sheds) {
        m_shedding_share += ((target_sheds ? 1.0 : 0.0) - m_shedding_share) * newest_reply_weight;
    }

    /// True when a call should run at a shedding target at once.
    bool shedding_is_common() const { return m_shedding_share > max_worthwhile_share; }

private:
    static constexpr double newest_reply_weight = 0.1;
    static constexpr double max_worthwhile_share = 0.6;

    double m_shedding_share = 0;
};

} // namespace boragehollow::admission
