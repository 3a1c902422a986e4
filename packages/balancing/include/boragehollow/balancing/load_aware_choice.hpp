#pragma once

#include "boragehollow/balancing/target_record.hpp"
#include "boragehollow/common/random_source.hpp"
#include "boragehollow/config/resource.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace boragehollow::balancing {

/// Chooses the target with the least expected load. Compared are the targets with a recent report that no
/// choice has used yet, and a few that are drawn in proportion to their speed. Reports arrive with replies
/// only, so different daemons know different targets and do not all choose the same ones.
class load_aware_choice {
public:
    /// Records the load that a reply of a target carries.
    void record(const piggybacked_load& load, steady_time now);

    /// Index of the chosen target. `pool` must not be empty. `hop` is the wait that a target in the caller's
    /// failure domain may have beyond one in another domain.
    std::uint32_t choose(std::span<const std::uint32_t> pool, const std::vector<target_record>& targets,
                         const config::load_aware& policy, microseconds hop, common::random_source& random,
                         steady_time now);

private:
    fractional_microseconds typical_service() const;
    double speed(const target_record& target) const;
    std::size_t draw_by_speed(std::span<const std::uint32_t> candidates,
                              const std::vector<target_record>& targets, common::random_source& random) const;
    fractional_microseconds expected_time(const target_record& target, const config::load_aware& policy,
                                          steady_time now) const;

    double m_mean_use = 0; ///< Mean use of the slots of the service, by the newest reports.
    fractional_microseconds m_typical_service{0};
    steady_time m_updated;
    std::vector<std::uint32_t> m_local;  ///< Scratch buffer: candidates in the callers' failure domain.
    std::vector<std::uint32_t> m_remote; ///< Scratch buffer: the other candidates.
};

} // namespace boragehollow::balancing
