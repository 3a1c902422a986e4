#pragma once

#include "boragehollow/common/random_source.hpp"
#include "boragehollow/scenario/statement.hpp"
#include "cluster.hpp"
#include "recorder.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <stop_token>
#include <string>

namespace boragehollow::scenario {

/// Evaluates expectations against the current state of the mesh.
class expectation_check {
public:
    expectation_check(cluster& mesh, recorder& results, common::random_source& random,
                      std::uint64_t latest_version, std::stop_token stop)
        : m_mesh(mesh), m_recorder(results), m_random(random), m_latest_version(latest_version),
          m_stop(std::move(stop)) {}

    /// Returns the reason why the expectation does not hold; empty if it holds.
    std::string unmet_reason(const expectation& what) { return std::visit(*this, what); }

    std::string operator()(const in_force_expectation& condition);
    std::string operator()(const version_expectation& condition);
    std::string operator()(const same_digest_expectation& condition);
    std::string operator()(const members_expectation& condition);
    std::string operator()(const ready_expectation& condition);
    std::string operator()(const answered_expectation& condition);
    std::string operator()(const background_expectation& condition);
    std::string operator()(const load_expectation& condition);
    std::string operator()(const exited_expectation& condition);
    std::string operator()(const ledger_expectation& condition);
    std::string operator()(const quiet_expectation& condition);
    std::string operator()(const event_expectation& condition);

private:
    template <class Predicate>
    std::string first_unmet_reason(const name_list& names, const Predicate& unmet_reason_of);

    cluster& m_mesh;
    recorder& m_recorder;
    common::random_source& m_random;
    std::uint64_t m_latest_version;
    std::stop_token m_stop;
    /// Number of ledger entries of the target when the `quiet` expectation was first evaluated.
    std::optional<std::size_t> m_quiet_entries;
};

} // namespace boragehollow::scenario
