#pragma once

#include "boragehollow/common/random_source.hpp"
#include "boragehollow/scenario/child_process.hpp"
#include "boragehollow/scenario/mesh_layout.hpp"
#include "figures.hpp"
#include "free_ports.hpp"
#include "options.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boragehollow::measure {

using std::chrono::milliseconds;

template <class Value>
using result = tl::expected<Value, std::string>;

/// State that all measurements of a run share.
struct measurement_context {
    measure_options options;
    std::filesystem::path directory; ///< Holds settings files and logs.
    scenario::free_ports ports;
    common::random_source random;
    figure_table figures;
    std::size_t meshes = 0; ///< Number of meshes started so far; numbers their folders.

    std::filesystem::path program(const std::string& path) const { return options.build / path; }
};

struct mesh_plan {
    mesh_size size;
    std::map<std::string, std::string> settings; ///< Additional settings for every daemon.
    /// Synchronises the member tables every second instead of every 10 s, so that daemons that start together
    /// know each other within seconds instead of half a minute. Not for measurements of control-plane
    /// traffic.
    bool quick_join = false;
};

struct target_plan {
    std::string service;
    std::size_t slots = 6;
    milliseconds work{5}; ///< Processing time of a request.
};

/// A platform log, daemons and targets on loopback. The destructor kills the processes.
class test_mesh {
public:
    static result<std::unique_ptr<test_mesh>> start(measurement_context& context, const mesh_plan& plan);

    test_mesh() = default;
    test_mesh(const test_mesh&) = delete;
    test_mesh& operator=(const test_mesh&) = delete;
    ~test_mesh();

    std::size_t size() const { return m_layout.daemons.size(); }
    const scenario::daemon_endpoints& endpoints(std::size_t daemon) const {
        return m_layout.daemons.at(daemon);
    }
    const common::endpoint& platform() const { return m_layout.platform; }
    const std::filesystem::path& folder() const { return m_folder; }

    pid_t process(std::size_t daemon) const { return m_daemons.at(daemon)->id(); }
    /// Indices of the running daemons.
    std::vector<std::size_t> live() const;
    void kill(std::size_t daemon);

    /// Waits until all running daemons are ready and know each other.
    result<void> wait_until_joined(milliseconds timeout) const;

    /// Waits until all running daemons have applied `version`.
    result<void> wait_until_applied(std::uint64_t version, milliseconds timeout) const;

    /// Submits the resources of a JSON document through the daemon `via` and returns the version of the
    /// change. Retries with the same change id while the outcome is unknown.
    result<std::uint64_t> apply(const std::string& document, std::size_t via, common::random_source& random);

    /// Starts a target that announces itself to a daemon, and returns the target's address.
    result<common::endpoint> start_target(measurement_context& context, std::size_t daemon,
                                          const target_plan& plan);

private:
    scenario::mesh_layout m_layout;
    std::filesystem::path m_folder;
    std::optional<scenario::child_process> m_platform;
    std::vector<std::optional<scenario::child_process>> m_daemons;
    std::vector<scenario::child_process> m_targets;
};

} // namespace boragehollow::measure
