#include "test_mesh.hpp"

#include "control_api.hpp"

#include <csignal>
#include <fstream>
#include <thread>

namespace boragehollow::measure {

namespace {

using namespace std::chrono_literals;
namespace control_api = scenario::control_api;

constexpr milliseconds status_timeout = 2s;
constexpr milliseconds poll_interval = 100ms;
constexpr milliseconds standin_start_timeout = 10s;
constexpr int change_attempts = 5;

scenario::mesh_statement to_mesh_statement(const mesh_size& size) {
    scenario::mesh_statement statement;
    statement.name = "measure";
    for (std::size_t domain = 1; domain <= size.domains; ++domain) {
        statement.domains.push_back("domain" + std::to_string(domain));
    }
    statement.daemons_per_domain = size.daemons_per_domain;
    return statement;
}

/// Waits until a stand-in has logged that it is listening.
bool wait_listening(const std::filesystem::path& log, milliseconds timeout) {
    const auto deadline = common::steady_clock::now() + timeout;
    while (common::steady_clock::now() < deadline) {
        std::ifstream file(log);
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with("listening on")) {
                return true;
            }
        }
        std::this_thread::sleep_for(20ms);
    }
    return false;
}

template <class Condition>
result<void> wait_for(milliseconds timeout, const std::string& what, const Condition& condition) {
    const auto deadline = common::steady_clock::now() + timeout;
    while (!condition()) {
        if (common::steady_clock::now() >= deadline) {
            return tl::unexpected("timed out waiting for " + what);
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return {};
}

} // namespace

result<std::unique_ptr<test_mesh>> test_mesh::start(measurement_context& context, const mesh_plan& plan) {
    auto mesh = std::make_unique<test_mesh>();
    std::map<std::string, std::string> entries = plan.settings;
    if (plan.quick_join) {
        entries["timing.table_sync"] = "\"1s\"";
    }
    mesh->m_folder = context.directory / ("mesh-" + std::to_string(++context.meshes));
    std::filesystem::create_directories(mesh->m_folder);
    mesh->m_layout =
        scenario::make_layout(to_mesh_statement(plan.size), [&] { return context.ports.next(); });
    const std::filesystem::path platform_output = mesh->m_folder / "platform.log";
    auto platform = scenario::child_process::start(
        context.program("standins/platform_log/boragehollow_platform_log"),
        {"--listen", common::to_string(mesh->m_layout.platform)}, platform_output);
    if (!platform) {
        return tl::unexpected(platform.error());
    }
    mesh->m_platform = std::move(*platform);
    if (!wait_listening(platform_output, standin_start_timeout)) {
        return tl::unexpected(std::string("timed out waiting for the platform log to listen"));
    }
    for (const scenario::daemon_endpoints& endpoints : mesh->m_layout.daemons) {
        const std::filesystem::path settings = mesh->m_folder / (endpoints.name + ".toml");
        std::ofstream(settings) << scenario::render_settings(mesh->m_layout, endpoints, entries);
        auto daemon = scenario::child_process::start(context.program("programs/boragehollowd/boragehollowd"),
                                                     {"--settings", settings.string()},
                                                     mesh->m_folder / (endpoints.name + ".log"));
        if (!daemon) {
            return tl::unexpected(daemon.error());
        }
        mesh->m_daemons.emplace_back(std::move(*daemon));
    }
    if (auto settled = mesh->wait_until_joined(90s); !settled) {
        return tl::unexpected(settled.error());
    }
    return mesh;
}

/// Kills the processes without a graceful stop, since nothing depends on their state any more.
test_mesh::~test_mesh() {
    for (const auto& daemon : m_daemons) {
        if (daemon) {
            daemon->send_signal(SIGKILL);
        }
    }
    for (const scenario::child_process& target : m_targets) {
        target.send_signal(SIGKILL);
    }
}

std::vector<std::size_t> test_mesh::live() const {
    std::vector<std::size_t> indices;
    for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
        if (m_daemons.at(daemon)) {
            indices.push_back(daemon);
        }
    }
    return indices;
}

void test_mesh::kill(std::size_t daemon) {
    m_daemons.at(daemon)->send_signal(SIGKILL);
    m_daemons.at(daemon)->wait_exit(2s);
    m_daemons.at(daemon).reset();
}

result<void> test_mesh::wait_until_joined(milliseconds timeout) const {
    const std::vector<std::size_t> expected = live();
    return wait_for(timeout, "all daemons to be ready and to know each other", [&] {
        for (const std::size_t daemon : expected) {
            const auto status =
                control_api::read_status(endpoints(daemon).name, endpoints(daemon).operators, status_timeout);
            if (!status || !status->ready || status->members_alive != expected.size()) {
                return false;
            }
        }
        return true;
    });
}

result<void> test_mesh::wait_until_applied(std::uint64_t version, milliseconds timeout) const {
    return wait_for(timeout, "version " + std::to_string(version) + " to be applied on all daemons", [&] {
        for (const std::size_t daemon : live()) {
            const auto status =
                control_api::read_status(endpoints(daemon).name, endpoints(daemon).operators, status_timeout);
            if (!status || status->version < version) {
                return false;
            }
        }
        return true;
    });
}

result<std::uint64_t> test_mesh::apply(const std::string& document, std::size_t via,
                                       common::random_source& random) {
    const auto change = control_api::change_from_document(document, random.identifier());
    if (!change) {
        return tl::unexpected(change.error());
    }
    std::string last;
    for (int attempt = 0; attempt < change_attempts; ++attempt) {
        const auto response = control_api::post_change(endpoints(via).operators, *change);
        if (response && response->outcome_known) {
            return response->accepted ? result<std::uint64_t>(response->version)
                                      : tl::unexpected(response->text);
        }
        last = response ? response->text : response.error();
        std::this_thread::sleep_for(poll_interval);
    }
    return tl::unexpected(last);
}

result<common::endpoint> test_mesh::start_target(measurement_context& context, std::size_t daemon,
                                                 const target_plan& plan) {
    const common::endpoint listen{"127.0.0.1", context.ports.next()};
    const std::string name = plan.service + "-" + endpoints(daemon).name;
    const std::filesystem::path output = m_folder / ("target-" + name + ".log");
    auto target = scenario::child_process::start(
        context.program("standins/target/boragehollow_target"),
        {"--listen", common::to_string(listen), "--service", plan.service, "--name", name, "--slots",
         std::to_string(plan.slots), "--work-ms", std::to_string(plan.work.count()), "--announce",
         common::to_string(endpoints(daemon).target)},
        output);
    if (!target) {
        return tl::unexpected(target.error());
    }
    m_targets.push_back(std::move(*target));
    if (!wait_listening(output, standin_start_timeout)) {
        return tl::unexpected("timed out waiting for target " + name + " to listen");
    }
    return listen;
}

} // namespace boragehollow::measure
