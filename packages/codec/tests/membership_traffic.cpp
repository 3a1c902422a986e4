// Prints the network and processor cost of membership per daemon. Simulates one failure domain with all of
// its 733 daemons, and each of the other 14 by a single proxy node that holds all entries of its domain. Not
// a test: it checks no limit.

#include "boragehollow/codec/member_codec.hpp"
#include "simulated_network.hpp"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <string_view>

namespace {

using namespace boragehollow;
using namespace boragehollow::membership;
using namespace boragehollow::membership::testing;
using namespace std::chrono_literals;

constexpr int domain_count = 15;
constexpr int hosts_per_domain = 733;
constexpr double configuration_changes_per_second = 13000.0 / 86400;

std::string domain_name(int domain) {
    return "failure-domain-" + std::to_string(domain);
}

std::string host_name(int domain, int host) {
    return "host-" + std::to_string(domain) + "-" + std::to_string(host);
}

member make_member(int domain, int host, std::uint64_t incarnation) {
    const std::string address = "10." + std::to_string(100 + domain) + "." + std::to_string(host / 250) +
                                "." + std::to_string(host % 250);
    member value{host_name(domain, host), domain_name(domain), {address, 7000}, {address, 7001}, incarnation};
    value.target = {"service-" + std::to_string(host % 500), {{"version", "v1"}}, 6, target_state::ready};
    return value;
}

class traffic_benchmark {
public:
    traffic_benchmark() : m_network(1) {
        std::vector<member_ref> others;
        for (int domain = 1; domain < domain_count; ++domain) {
            for (int host = 0; host < hosts_per_domain; ++host) {
                others.push_back(
                    std::make_shared<const member>(make_member(domain, host, std::uint64_t{1} << 56U)));
            }
        }
        for (int host = 0; host < hosts_per_domain; ++host) {
            m_network.start(host_name(0, host), domain_name(0));
        }
        sync_reply full_table{{}, {}, others};
        for (int host = 0; host < hosts_per_domain; ++host) {
            full_table.members.push_back(std::make_shared<const member>(local_node(host).engine->self()));
        }
        for (int domain = 1; domain < domain_count; ++domain) {
            simulated_network::node& proxy =
                m_network.start("stand-in-" + std::to_string(domain), domain_name(domain));
            proxy.passive = true;
            m_domain_proxies.push_back(&proxy);
        }
        for (simulated_network::node* node : m_network.running()) {
            node->engine->handle_sync_reply(full_table, m_network.now());
        }
        m_network.route = [this](const common::endpoint& address) {
            const int domain = std::stoi(address.address.substr(3, 3)) - 100;
            return m_domain_proxies.at(static_cast<std::size_t>(domain) - 1);
        };
        m_network.datagram_size = [](const datagram& value) {
            return codec::encode_datagram(value, "los-andes", {common::wall_now(), 0}).value().size();
        };
        m_network.run_for(120s);
    }

    void measure(const char* title, std::chrono::seconds span, double restarts_per_second) {
        m_network.reset_bytes();
        const std::clock_t cpu_start = std::clock();
        double restarts_due = 0;
        double versions_due = 0;
        for (std::chrono::seconds passed{0}; passed < span; ++passed) {
            restarts_due += restarts_per_second;
            versions_due += configuration_changes_per_second;
            for (; versions_due >= 1; --versions_due) {
                apply_next_version();
            }
            for (; restarts_due >= 1; --restarts_due) {
                restart_random_host();
            }
            m_network.run_for(1s);
        }
        report(title, span, static_cast<double>(std::clock() - cpu_start) / CLOCKS_PER_SEC);
    }

    void measure_drains() {
        std::vector<long> times;
        for (int host = 0; host < 20; ++host) {
            simulated_network::node& leaving = local_node(host);
            target_announcement announcement = leaving.engine->self().target;
            announcement.state = target_state::draining;
            m_network.perform(leaving, leaving.engine->announce_local_target(announcement, m_network.now()));
            const auto taken = m_network.run_until([&] { return all_know_drain(leaving.host); }, 60s);
            times.push_back(static_cast<long>(taken.count()));
            m_network.run_for(5s);
        }
        std::sort(times.begin(), times.end());
        std::printf("drain announcement known to all 733: median %ld ms, longest of 20 %ld ms\n", times[10],
                    times[19]);
    }

    void measure_mass_failure() {
        m_network.reset_bytes();
        for (int host = 0; host < hosts_per_domain / 3; ++host) {
            m_network.kill(host_name(0, host));
        }
        const auto down = m_network.run_until([&] { return all_observe(member_state::dead); }, 300s);
        report("a third dies", std::chrono::ceil<std::chrono::seconds>(down), 0);
        m_network.reset_bytes();
        for (int host = 0; host < hosts_per_domain / 3; ++host) {
            m_network.start(host_name(0, host), domain_name(0), {local_node(hosts_per_domain - 1).address});
        }
        const auto up = m_network.run_until([&] { return all_observe(member_state::alive); }, 300s);
        report("a third returns", std::chrono::ceil<std::chrono::seconds>(up), 0);
        std::printf("storm: all know the deaths after %ld ms, the returns after %ld ms\n",
                    static_cast<long>(down.count()), static_cast<long>(up.count()));
    }

private:
    simulated_network::node& local_node(int host) { return m_network.at(host_name(0, host)); }

    bool all_know_drain(const std::string& host) {
        for (int observer = 0; observer < hosts_per_domain; ++observer) {
            if (local_node(observer).engine->find(host)->target.state != target_state::draining) {
                return false;
            }
        }
        return true;
    }

    /// Whether every running daemon has the first third of the hosts in state `state`.
    bool all_observe(member_state state) {
        for (int observer = 0; observer < hosts_per_domain; ++observer) {
            if (!local_node(observer).running) {
                continue;
            }
            for (int host = 0; host < hosts_per_domain / 3; ++host) {
                const member_ref seen = local_node(observer).engine->find(host_name(0, host));
                if (!seen || seen->state != state) {
                    return false;
                }
            }
        }
        return true;
    }

    void apply_next_version() {
        ++m_version;
        for (int host = 0; host < hosts_per_domain; ++host) {
            simulated_network::node& node = local_node(host);
            m_network.perform(node, node.engine->set_applied_version({m_version}, m_network.now()));
        }
    }

    /// Planned restart of a random host in the mesh: it drains, leaves and rejoins.
    void restart_random_host() {
        const int domain = static_cast<int>(m_random.index(domain_count));
        const int host = static_cast<int>(m_random.index(hosts_per_domain));
        if (domain == 0) {
            simulated_network::node& leaving = local_node(host);
            target_announcement announcement = leaving.engine->self().target;
            announcement.state = target_state::draining;
            m_network.perform(leaving, leaving.engine->announce_local_target(announcement, m_network.now()));
            m_network.run_for(5s);
            m_network.perform(leaving, leaving.engine->leave(m_network.now()));
            m_network.kill(leaving.host);
            m_network.start(host_name(0, host), domain_name(0),
                            {local_node((host + 1) % hosts_per_domain).address});
            return;
        }
        member changed = make_member(domain, host, (std::uint64_t{1} << 56U) + (++m_restarts << 16U));
        for (int sequence = 1; sequence <= 2; ++sequence) {
            changed.target_sequence = static_cast<std::uint64_t>(sequence);
            const datagram announcement{changed.host, progress_report{}, {changed}};
            simulated_network::node& proxy = *m_domain_proxies.at(static_cast<std::size_t>(domain) - 1);
            m_network.perform(proxy, proxy.engine->receive(announcement, changed.gossip, m_network.now()));
        }
    }

    void report(const char* title, std::chrono::seconds span, double cpu_seconds) {
        std::vector<double> sent;
        std::vector<double> received;
        double datagrams = 0;
        double reconciliation = 0;
        const double seconds = static_cast<double>(span.count());
        for (int host = 0; host < hosts_per_domain; ++host) {
            const simulated_network::node& node = local_node(host);
            if (!node.running) {
                continue;
            }
            sent.push_back(static_cast<double>(node.datagram_bytes + node.sync_bytes) / seconds);
            received.push_back(static_cast<double>(node.received_bytes) / seconds);
            datagrams += static_cast<double>(node.datagram_bytes) / seconds;
            reconciliation += static_cast<double>(node.sync_bytes) / seconds;
        }
        std::sort(sent.begin(), sent.end());
        std::sort(received.begin(), received.end());
        const auto count = static_cast<double>(sent.size());
        const auto quantile_of = [&](const std::vector<double>& values, double quantile) {
            return values[static_cast<std::size_t>(quantile * (count - 1))];
        };
        std::printf(
            "%-34s %4.0f s: sent %5.0f B/s on average (datagrams %5.0f, reconciliation %5.0f), median "
            "%5.0f, highest %5.0f; received: median %5.0f, highest %5.0f; processor %.3f%% of a core\n",
            title, seconds, (datagrams + reconciliation) / count, datagrams / count, reconciliation / count,
            quantile_of(sent, 0.5), sent.back(), quantile_of(received, 0.5), received.back(),
            100 * cpu_seconds / seconds / count);
        std::fflush(stdout);
    }

    simulated_network m_network;
    common::random_source m_random{2};
    std::uint64_t m_restarts = 0;
    std::uint64_t m_version = 0;
    std::vector<simulated_network::node*> m_domain_proxies;
};

} // namespace

int main(int argc, char** argv) {
    const bool only_mass_failure = argc > 1 && std::string_view(argv[1]) == "storm";
    traffic_benchmark benchmark;
    if (!only_mass_failure) {
        benchmark.measure("idle", 60s, 0);
        benchmark.measure("963 restarts a day in the mesh", 300s, 963.0 / 86400);
        benchmark.measure("963 restarts an hour in the mesh", 120s, 963.0 / 3600);
    }
    benchmark.measure_drains();
    benchmark.measure_mass_failure();
    return 0;
}
