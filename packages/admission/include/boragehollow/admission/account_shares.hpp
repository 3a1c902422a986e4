#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace boragehollow::admission {

/// Shares a target among the accounts that wait for it, in proportion to their weights: the next call is one
/// of the account whose virtual start is the lowest. An account keeps its start while its calls wait, and
/// gains no credit while none does.
class account_shares {
public:
    /// A call of the account joins or leaves the queue.
    void add_waiting(const std::string& account);
    void remove_waiting(const std::string& account);

    /// A call of the account was taken from the queue to run.
    void record_service(const std::string& account, double weight);

    /// Virtual time at which the next call of the account starts.
    double start_of(const std::string& account) const;

private:
    struct share {
        std::size_t waiting = 0;
        double start = 0;
    };

    double m_virtual_time = 0; ///< Highest start of a call that was taken.
    std::map<std::string, share, std::less<>> m_shares;
};

} // namespace boragehollow::admission
