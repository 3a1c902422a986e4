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

    std::string operator()(const in_force_expectation& each);
    std::string operator()(const version_expectation& each);
    std::string operator()(const same_digest_expectation& each);
    std::string operator()(const members_expectation& each);
    std::string operator()(const ready_expectation& each);
    std::string operator()(const answered_expectation& each);
    std::string operator()(const background_expectation& each);
    std::string operator()(const load_expectation& each);
    std::string operator()(const exited_expectation& each);
    std::string operator()(const ledger_expectation& each);
    std::string operator()(const quiet_expectation& each);
    std::string operator()(const event_expectation& each);

private:
    template <class Predicate>
    std::string for_each_daemon(const name_list& names, const Predicate& unmet_reason_of);

    cluster& m_mesh;
    recorder& m_recorder;
    common::random_source& m_random;
    std::uint64_t m_latest_version;
    std::stop_token m_stop;
    std::optional<std::size_t>
        m_quiet_entries; ///< Ledger size at the first evaluation of a `quiet` expectation.
};

} // namespace boragehollow::scenario
