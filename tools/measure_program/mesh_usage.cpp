#include "mesh_usage.hpp"

#include "boragehollow/web/http_client.hpp"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <fstream>
#include <set>
#include <sstream>

namespace boragehollow::measure {

namespace {

using namespace std::chrono_literals;

constexpr milliseconds request_timeout = 5s;
constexpr double udp_and_ip_header = 28;
constexpr double tcp_and_ip_header = 52; ///< Including the timestamp option that Linux sends.

result<std::string> fetch_body(const common::endpoint& server, std::string_view path) {
    auto response = web::fetch(server, "GET", path, {}, {}, request_timeout);
    if (!response || response->status != 200) {
        return tl::unexpected("no successful response to GET " + std::string(path) + " from " +
                              common::to_string(server));
    }
    return std::move(response->body);
}

/// Sums all samples of the Prometheus text format that start with `prefix`, such as all directions of a
/// transport.
double sum_metric(const std::string& text, const std::string& prefix) {
    double sum = 0;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(prefix)) {
            sum += std::stod(line.substr(line.rfind(' ') + 1));
        }
    }
    return sum;
}

result<void> add_process(pid_t id, mesh_usage& usage) {
    const std::string folder = "/proc/" + std::to_string(id);
    std::ifstream stat(folder + "/stat");
    std::string text;
    std::getline(stat, text);
    const std::size_t name_end = text.rfind(')');
    if (name_end == std::string::npos) {
        return tl::unexpected("process " + std::to_string(id) + " has exited");
    }
    // utime and stime are fields 14 and 15; the field after the command name is field 3.
    std::istringstream fields(text.substr(name_end + 2));
    std::string skipped;
    for (int field = 3; field < 14; ++field) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    usage.processor_seconds += (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    std::ifstream memory(folder + "/statm");
    double total = 0;
    double resident = 0;
    memory >> total >> resident;
    usage.resident_megabytes += resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
    return {};
}

result<void> add_platform(const common::endpoint& platform, mesh_usage& usage) {
    const auto body = fetch_body(platform, "/v1/counters");
    if (!body) {
        return tl::unexpected(body.error());
    }
    const auto counters = nlohmann::json::parse(*body, nullptr, false);
    if (!counters.is_object()) {
        return tl::unexpected(std::string("the counters of the platform log are not a JSON object"));
    }
    for (const auto& stream : counters.at("streams")) {
        usage.platform_reads += stream.value("reads", 0.0);
        usage.platform_bytes += stream.value("bytes_read", 0.0);
    }
    return {};
}

result<void> add_connections(const test_mesh& mesh, mesh_usage& usage) {
    const auto table = read_tcp_table();
    if (!table) {
        return tl::unexpected(table.error());
    }
    std::set<std::uint16_t> ports;
    for (const std::size_t daemon : mesh.live()) {
        ports.insert(mesh.endpoints(daemon).peer.port);
    }
    for (const auto& [ends, count] : *table) {
        if (ports.contains(ends.first)) {
            usage.peer_connections.emplace(ends, count);
        }
    }
    return {};
}

} // namespace

result<mesh_usage> read_usage(const test_mesh& mesh) {
    mesh_usage usage;
    const std::vector<std::size_t> live = mesh.live();
    for (const std::size_t daemon : live) {
        const auto metrics = fetch_body(mesh.endpoints(daemon).operators, "/metrics");
        if (!metrics) {
            return tl::unexpected(metrics.error());
        }
        usage.gossip_bytes += sum_metric(*metrics, "boragehollow_control_bytes{transport=\"gossip\"");
        usage.datagrams += sum_metric(*metrics, "boragehollow_control_messages{transport=\"gossip\"");
        usage.peer_bytes += sum_metric(*metrics, "boragehollow_control_bytes{transport=\"peer");
        usage.peer_messages += sum_metric(*metrics, "boragehollow_control_messages{transport=\"peer");
    }
    if (auto added = add_platform(mesh.platform(), usage); !added) {
        return tl::unexpected(added.error());
    }
    if (auto added = add_connections(mesh, usage); !added) {
        return tl::unexpected(added.error());
    }
    for (const std::size_t daemon : live) {
        if (auto added = add_process(mesh.process(daemon), usage); !added) {
            return tl::unexpected(added.error());
        }
    }
    usage.resident_megabytes /= static_cast<double>(live.size());
    usage.at = common::steady_clock::now();
    return usage;
}

usage_rates rates_between(const mesh_usage& first, const mesh_usage& last, std::size_t daemons) {
    const double seconds = std::chrono::duration<double>(last.at - first.at).count();
    const double share = 1 / (seconds * static_cast<double>(daemons));
    double tcp_bytes = 0;
    double segments = 0;
    for (const auto& [ends, count] : last.peer_connections) {
        const auto before = first.peer_connections.find(ends);
        const tcp_count start = before == first.peer_connections.end() ? tcp_count{} : before->second;
        tcp_bytes += static_cast<double>(count.bytes) - static_cast<double>(start.bytes);
        segments += static_cast<double>(count.segments) - static_cast<double>(start.segments);
    }
    const double gossip = last.gossip_bytes - first.gossip_bytes;
    usage_rates rates;
    rates.processor_percent = 100 * (last.processor_seconds - first.processor_seconds) * share;
    rates.resident_megabytes = last.resident_megabytes;
    rates.message_bytes = (gossip + last.peer_bytes - first.peer_bytes) * share;
    // Counted twice: each byte is sent by one daemon and received by another, but only one end is in the
    // table.
    rates.wire_bytes = (gossip + udp_and_ip_header * (last.datagrams - first.datagrams) +
                        2 * (tcp_bytes + tcp_and_ip_header * segments)) *
                       share;
    rates.platform_reads = (last.platform_reads - first.platform_reads) / seconds;
    rates.platform_bytes = (last.platform_bytes - first.platform_bytes) / seconds;
    return rates;
}

} // namespace boragehollow::measure
