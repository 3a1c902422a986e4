#include "boragehollow/common/duty.hpp"
#include "boragehollow/web/http_client.hpp"
#include "measurements.hpp"
#include "mesh_usage.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <sstream>
#include <thread>

namespace boragehollow::measure {

namespace {

using namespace std::chrono_literals;

/// The expected load: 13,000 changes a day.
constexpr double planned_changes_per_second = 13'000.0 / 86'400.0;
constexpr milliseconds announcement_interval = 500ms;
constexpr std::size_t max_change_operations = 100;

/// Size and contents of a mesh that is measured.
struct load_case {
    std::string name;
    mesh_size size;
    std::size_t services = 0; ///< Number of services, each with a policy, a route and a target rule.
    bool targets = false;     ///< Whether a target announces itself to each daemon.
};

/// Resource usage of an idle mesh, and of one that receives changes.
struct observation {
    usage_rates idle;
    usage_rates churn;
    double changes_per_second = 0;
};

/// Announces a target to every daemon at each interval, without starting target processes.
std::unique_ptr<common::duty> announce_targets(const test_mesh& mesh) {
    std::vector<common::endpoint> daemons;
    for (std::size_t daemon = 0; daemon < mesh.size(); ++daemon) {
        daemons.push_back(mesh.endpoints(daemon).target);
    }
    return std::make_unique<common::duty>("announcer", [daemons](const std::stop_token& stop) {
        const std::string body =
            R"({"service": "probe", "port": 9, "slots": 6, "labels": {"version": "17"}, "state": "ready",)"
            R"( "load": {"in_use": 1, "queued": 0}})";
        auto next = common::steady_clock::now();
        while (!stop.stop_requested()) {
            for (const common::endpoint& daemon : daemons) {
                (void)web::fetch(daemon, "POST", "/v1/target", {{"Content-Type", "application/json"}}, body,
                                 announcement_interval);
            }
            next += announcement_interval;
            std::this_thread::sleep_until(next);
        }
    });
}

/// A document with the policies, routes and target rules of the services in [first, last).
std::string service_document(std::size_t first, std::size_t last) {
    std::ostringstream list;
    for (std::size_t i = first; i < last; ++i) {
        list << (i > first ? ", " : "") << R"({"kind": "service_policy", "name": "service-)" << i << R"("}, )"
             << R"({"kind": "route", "name": "route-)" << i << R"(", "host": "h)" << i
             << R"(.example", "path_prefix": "/api", "service": "service-)" << i << R"("}, )"
             << R"({"kind": "target_rule", "name": "rule-)" << i << R"(", "service": "service-)" << i
             << R"("})";
    }
    return R"({"resources": [)" + list.str() + "]}";
}

result<void> apply_resources(measurement_context& context, test_mesh& mesh, std::size_t services) {
    auto version = mesh.apply(R"({"kind": "service_policy", "name": "probe"})", 0, context.random);
    constexpr std::size_t services_per_change = max_change_operations / 3;
    for (std::size_t first = 0; version && first < services; first += services_per_change) {
        const std::size_t last = std::min(services, first + services_per_change);
        version = mesh.apply(service_document(first, last), 0, context.random);
    }
    if (!version) {
        return tl::unexpected(version.error());
    }
    return mesh.wait_until_applied(*version, 30s);
}

result<usage_rates> observe(const test_mesh& mesh, const std::function<result<void>()>& activity) {
    const auto first = read_usage(mesh);
    if (!first) {
        return tl::unexpected(first.error());
    }
    if (auto done = activity(); !done) {
        return tl::unexpected(done.error());
    }
    const auto last = read_usage(mesh);
    if (!last) {
        return tl::unexpected(last.error());
    }
    return rates_between(*first, *last, mesh.size());
}

result<observation> observe_round(measurement_context& context, test_mesh& mesh) {
    const milliseconds window = context.options.quick ? 3s : 4s;
    const auto idle = observe(mesh, [&]() -> result<void> {
        std::this_thread::sleep_for(window);
        return {};
    });
    if (!idle) {
        return tl::unexpected(idle.error());
    }
    int changes = 0;
    const auto begun = common::steady_clock::now();
    const auto churn = observe(mesh, [&]() -> result<void> {
        for (auto next = begun; next < begun + window; next += 250ms) {
            std::this_thread::sleep_until(next);
            const std::string document = R"({"kind": "route", "name": "churn", "path_prefix": "/churn-)" +
                                         context.random.identifier().substr(0, 8) +
                                         R"(", "service": "probe"})";
            if (auto sent = mesh.apply(document, context.random.index(mesh.size()), context.random); !sent) {
                return tl::unexpected("cannot submit a change: " + sent.error());
            }
            ++changes;
        }
        std::this_thread::sleep_until(begun + window);
        return {};
    });
    if (!churn) {
        return tl::unexpected(churn.error());
    }
    const double seconds = std::chrono::duration<double>(common::steady_clock::now() - begun).count();
    return observation{*idle, *churn, changes / seconds};
}

/// Cost of one change: the difference between the usage with changes and without, per change.
double per_change(const observation& observed, double usage_rates::*rate) {
    return (observed.churn.*rate - observed.idle.*rate) / observed.changes_per_second;
}

double at_planned_rate(const observation& observed, double usage_rates::*rate) {
    return observed.idle.*rate + per_change(observed, rate) * planned_changes_per_second;
}

void add_control_bytes(figure_table& figures, measured_system system, const std::string& name,
                       const observation& observed, double daemons) {
    const auto add = [&](const std::string& what, const std::string& unit, double value) {
        figures.add(system, name + "." + what, unit, value);
    };
    add("idle.wire", "B/s/daemon", observed.idle.wire_bytes);
    add("idle.messages", "B/s/daemon", observed.idle.message_bytes);
    add("churn_rate", "changes/s", observed.changes_per_second);
    add("churn.wire", "B/s/daemon", observed.churn.wire_bytes);
    add("per_change.wire", "B/daemon", per_change(observed, &usage_rates::wire_bytes));
    add("at_13000_a_day.wire", "B/s/daemon", at_planned_rate(observed, &usage_rates::wire_bytes));
    add("platform.idle.reads", "reads/s", observed.idle.platform_reads);
    add("platform.per_change.reads", "reads", per_change(observed, &usage_rates::platform_reads));
    add("platform.per_change.payload", "B", per_change(observed, &usage_rates::platform_bytes));
    add("platform.per_change.payload_per_daemon", "B/daemon",
        per_change(observed, &usage_rates::platform_bytes) / daemons);
}

void add_footprint(figure_table& figures, measured_system system, const std::string& name,
                   const observation& observed, double) {
    const auto add = [&](const std::string& what, const std::string& unit, double value) {
        figures.add(system, name + "." + what, unit, value);
    };
    add("idle.processor", "% of a core", observed.idle.processor_percent);
    add("per_change.processor", "ms", 10 * per_change(observed, &usage_rates::processor_percent));
    add("at_13000_a_day.processor", "% of a core",
        at_planned_rate(observed, &usage_rates::processor_percent));
    add("resident", "MB", observed.churn.resident_megabytes);
    add("idle.wire", "B/s", observed.idle.wire_bytes);
    add("per_change.wire", "B", per_change(observed, &usage_rates::wire_bytes));
}

/// Runs the product and the baseline at the same time and observes them alternately.
template <class Report>
result<void> measure_case(measurement_context& context, const load_case& test_case, const Report& report) {
    std::vector<std::pair<measured_system, std::unique_ptr<test_mesh>>> meshes;
    std::vector<std::unique_ptr<common::duty>> announcers;
    for (const measured_system system : {measured_system::product, measured_system::baseline}) {
        mesh_plan plan{test_case.size, {}, false};
        if (system == measured_system::baseline) {
            plan.settings["baseline.log_reading"] = "\"every_daemon\"";
        }
        auto mesh = test_mesh::start(context, plan);
        if (!mesh) {
            return tl::unexpected(mesh.error());
        }
        if (auto applied = apply_resources(context, **mesh, test_case.services); !applied) {
            return tl::unexpected(applied.error());
        }
        if (test_case.targets) {
            announcers.push_back(announce_targets(**mesh));
        }
        meshes.emplace_back(system, std::move(*mesh));
    }
    std::this_thread::sleep_for(5s);
    for (std::size_t round = 0; round < context.options.rounds; ++round) {
        for (const auto& [system, mesh] : meshes) {
            const auto observed = observe_round(context, *mesh);
            if (!observed) {
                return tl::unexpected(observed.error());
            }
            report(context.figures, system, test_case.name, *observed,
                   static_cast<double>(test_case.size.daemons()));
        }
    }
    return {};
}

} // namespace

result<void> run(const control_bytes&, measurement_context& context) {
    for (const mesh_size& size : context.options.sizes) {
        const load_case test_case{"control-bytes." + to_string(size), size, 0, false};
        if (auto measured = measure_case(context, test_case, add_control_bytes); !measured) {
            return tl::unexpected(test_case.name + ": " + measured.error());
        }
    }
    return {};
}

result<void> run(const footprint&, measurement_context& context) {
    const mesh_size small{3, 4};
    std::vector<load_case> cases{{"footprint.12daemons", small, 0, false},
                                 {"footprint.12daemons.12targets", small, 0, true},
                                 {"footprint.12daemons.500services", small, 500, false},
                                 {"footprint.48daemons", {4, 12}, 0, false}};
    if (context.options.quick) {
        cases.resize(1);
    }
    for (const load_case& test_case : cases) {
        if (auto measured = measure_case(context, test_case, add_footprint); !measured) {
            return tl::unexpected(test_case.name + ": " + measured.error());
        }
    }
    return {};
}

} // namespace boragehollow::measure
