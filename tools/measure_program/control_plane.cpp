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

/// 13,000 changes a day.
constexpr double planned_changes_per_second = 13'000.0 / 86'400.0;
constexpr milliseconds heartbeat = 500ms;
constexpr std::size_t largest_change = 100;

/// What a mesh carries while it is observed.
struct load_case {
    std::string name;
    mesh_size size;
    std::size_t services = 0; ///< Each with a policy, a route and a target rule.
    bool targets = false;     ///< One target announces itself to each daemon.
};

struct observed {
    usage_rates idle;
    usage_rates churn;
    double changes_per_second = 0;
};

/// Announces a target to every daemon until it is stopped. No process is started for the targets.
std::unique_ptr<common::duty> announce_targets(const test_mesh& mesh) {
    std::vector<common::endpoint> daemons;
    for (std::size_t daemon = 0; daemon < mesh.size(); ++daemon) {
        daemons.push_back(mesh.place(daemon).target);
    }
    return std::make_unique<common::duty>("announcer", [daemons](const std::stop_token& stop) {
        const std::string body =
            R"({"service": "probe", "port": 9, "slots": 6, "labels": {"version": "17"}, "state": "ready",)"
            R"( "load": {"in_use": 1, "queued": 0}})";
        auto next = common::steady_clock::now();
        while (!stop.stop_requested()) {
            for (const common::endpoint& daemon : daemons) {
                (void)web::fetch(daemon, "POST", "/v1/target", {{"Content-Type", "application/json"}}, body,
                                 heartbeat);
            }
            next += heartbeat;
            std::this_thread::sleep_until(next);
        }
    });
}

/// Policies, routes and target rules of the services from `first` up to `last`.
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

result<void> apply_resources(context& shared, test_mesh& mesh, std::size_t services) {
    auto version = mesh.apply(R"({"kind": "service_policy", "name": "probe"})", 0, shared.random);
    constexpr std::size_t services_per_change = largest_change / 3;
    for (std::size_t first = 0; version && first < services; first += services_per_change) {
        const std::size_t last = std::min(services, first + services_per_change);
        version = mesh.apply(service_document(first, last), 0, shared.random);
    }
    if (!version) {
        return tl::unexpected(version.error());
    }
    return mesh.wait_in_force(*version, 30s);
}

result<usage_rates> observe(const test_mesh& mesh, const std::function<result<void>()>& meanwhile) {
    const auto first = read_usage(mesh);
    if (!first) {
        return tl::unexpected(first.error());
    }
    if (auto done = meanwhile(); !done) {
        return tl::unexpected(done.error());
    }
    const auto last = read_usage(mesh);
    if (!last) {
        return tl::unexpected(last.error());
    }
    return rates_between(*first, *last, mesh.size());
}

result<observed> observe_round(context& shared, test_mesh& mesh) {
    const milliseconds window = shared.options.quick ? 3s : 4s;
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
                                         shared.random.identifier().substr(0, 8) +
                                         R"(", "service": "probe"})";
            if (auto sent = mesh.apply(document, shared.random.index(mesh.size()), shared.random); !sent) {
                return tl::unexpected("change: " + sent.error());
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
    return observed{*idle, *churn, changes / seconds};
}

/// What one change costs, from the difference between churn and idleness.
double per_change(const observed& seen, double usage_rates::*rate) {
    return (seen.churn.*rate - seen.idle.*rate) / seen.changes_per_second;
}

double at_planned_rate(const observed& seen, double usage_rates::*rate) {
    return seen.idle.*rate + per_change(seen, rate) * planned_changes_per_second;
}

void add_control_bytes(figure_table& figures, side of, const std::string& name, const observed& seen,
                       double daemons) {
    const auto add = [&](const std::string& what, const std::string& unit, double value) {
        figures.add(of, name + "." + what, unit, value);
    };
    add("idle.wire", "B/s/daemon", seen.idle.wire_bytes);
    add("idle.messages", "B/s/daemon", seen.idle.message_bytes);
    add("churn_rate", "changes/s", seen.changes_per_second);
    add("churn.wire", "B/s/daemon", seen.churn.wire_bytes);
    add("per_change.wire", "B/daemon", per_change(seen, &usage_rates::wire_bytes));
    add("at_13000_a_day.wire", "B/s/daemon", at_planned_rate(seen, &usage_rates::wire_bytes));
    add("platform.idle.reads", "reads/s", seen.idle.platform_reads);
    add("platform.per_change.reads", "reads", per_change(seen, &usage_rates::platform_reads));
    add("platform.per_change.payload", "B", per_change(seen, &usage_rates::platform_bytes));
    add("platform.per_change.payload_per_daemon", "B/daemon",
        per_change(seen, &usage_rates::platform_bytes) / daemons);
}

void add_footprint(figure_table& figures, side of, const std::string& name, const observed& seen, double) {
    const auto add = [&](const std::string& what, const std::string& unit, double value) {
        figures.add(of, name + "." + what, unit, value);
    };
    add("idle.processor", "% of a core", seen.idle.processor_percent);
    add("per_change.processor", "ms", 10 * per_change(seen, &usage_rates::processor_percent));
    add("at_13000_a_day.processor", "% of a core", at_planned_rate(seen, &usage_rates::processor_percent));
    add("resident", "MB", seen.churn.resident_megabytes);
    add("idle.wire", "B/s", seen.idle.wire_bytes);
    add("per_change.wire", "B", per_change(seen, &usage_rates::wire_bytes));
}

/// Both meshes of a case run at the same time and are observed in turn.
template <class Report>
result<void> measure_case(context& shared, const load_case& which, const Report& report) {
    std::vector<std::pair<side, std::unique_ptr<test_mesh>>> meshes;
    std::vector<std::unique_ptr<common::duty>> announcers;
    for (const side of : {side::product, side::baseline}) {
        mesh_plan plan{which.size, {}, false};
        if (of == side::baseline) {
            plan.settings["baseline.log_reading"] = "\"every_daemon\"";
        }
        auto mesh = test_mesh::start(shared, plan);
        if (!mesh) {
            return tl::unexpected(mesh.error());
        }
        if (auto applied = apply_resources(shared, **mesh, which.services); !applied) {
            return tl::unexpected(applied.error());
        }
        if (which.targets) {
            announcers.push_back(announce_targets(**mesh));
        }
        meshes.emplace_back(of, std::move(*mesh));
    }
    std::this_thread::sleep_for(5s);
    for (std::size_t round = 0; round < shared.options.rounds; ++round) {
        for (const auto& [of, mesh] : meshes) {
            const auto seen = observe_round(shared, *mesh);
            if (!seen) {
                return tl::unexpected(seen.error());
            }
            report(shared.figures, of, which.name, *seen, static_cast<double>(which.size.daemons()));
        }
    }
    return {};
}

} // namespace

result<void> run(const control_bytes&, context& shared) {
    for (const mesh_size& size : shared.options.sizes) {
        const load_case which{"control-bytes." + to_string(size), size, 0, false};
        if (auto measured = measure_case(shared, which, add_control_bytes); !measured) {
            return tl::unexpected(which.name + ": " + measured.error());
        }
    }
    return {};
}

result<void> run(const footprint&, context& shared) {
    const mesh_size small{3, 4};
    std::vector<load_case> cases{{"footprint.12daemons", small, 0, false},
                                 {"footprint.12daemons.12targets", small, 0, true},
                                 {"footprint.12daemons.500services", small, 500, false},
                                 {"footprint.48daemons", {4, 12}, 0, false}};
    if (shared.options.quick) {
        cases.resize(1);
    }
    for (const load_case& which : cases) {
        if (auto measured = measure_case(shared, which, add_footprint); !measured) {
            return tl::unexpected(which.name + ": " + measured.error());
        }
    }
    return {};
}

} // namespace boragehollow::measure
