#include "options.hpp"

#include <boost/program_options.hpp>

#include <sstream>
#include <vector>

namespace boragehollow::standin {

namespace po = boost::program_options;

namespace {

template <class Duration>
po::typed_value<std::int64_t>* duration_option(Duration& value) {
    return po::value<std::int64_t>()->default_value(value.count())->notifier([&value](std::int64_t count) {
        value = Duration(count);
    });
}

std::optional<std::string> read_labels(const std::vector<std::string>& texts, target_options& options) {
    for (const std::string& text : texts) {
        const std::size_t equals = text.find('=');
        if (equals == std::string::npos || equals == 0) {
            return "label '" + text + "' is not NAME=VALUE";
        }
        options.labels[text.substr(0, equals)] = text.substr(equals + 1);
    }
    return std::nullopt;
}

} // namespace

tl::expected<target_options, usage> parse_target_options(int argc, const char* const* argv) {
    target_options options;
    std::string listen = "127.0.0.1:0";
    std::string announce;
    std::vector<std::string> labels;
    po::options_description description("boragehollow_target: stand-in for a target of the mesh");
    description.add_options()("help", "print this text")("listen", po::value(&listen),
                                                         "ADDRESS:PORT; port 0 selects a free port")(
        "service", po::value(&options.service), "service that the target provides")(
        "name", po::value(&options.name), "value of the x-target header of every response")(
        "announce", po::value(&announce), "ADDRESS:PORT of the daemon to which the target is announced")(
        "label", po::value(&labels)->multitoken()->composing(), "NAME=VALUE; may be repeated")(
        "slots", po::value(&options.slots), "maximum number of concurrent requests")(
        "queue", po::value(&options.queue), "maximum number of requests that wait for a slot")(
        "connections", po::value(&options.connections), "maximum number of connections")(
        "connection-cost-us", duration_option(options.connection_cost), "delay for every new connection")(
        "work-ms", duration_option(options.work), "service time of requests without an x-work-ms header")(
        "queue-max-wait-ms", duration_option(options.queue_max_wait),
        "maximum wait for a slot")("cold-start-ms", duration_option(options.cold_start),
                                   "time in state 'starting' after the program starts")(
        "drain-quiet-ms", duration_option(options.drain_quiet),
        "time without requests after which a drain ends")("ledger", po::value(&options.ledger_entries),
                                                          "maximum number of ledger entries");
    std::ostringstream help;
    help << description;
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
        if (values.contains("help")) {
            return tl::unexpected(usage{help.str(), false});
        }
    } catch (const po::error& error) {
        return tl::unexpected(usage{std::string(error.what()) + "\n" + help.str(), true});
    }
    const auto listen_endpoint = common::parse_endpoint(listen);
    if (!listen_endpoint) {
        return tl::unexpected(usage{listen_endpoint.error(), true});
    }
    options.listen = *listen_endpoint;
    if (!announce.empty()) {
        const auto daemon = common::parse_endpoint(announce);
        if (!daemon) {
            return tl::unexpected(usage{daemon.error(), true});
        }
        options.announce = *daemon;
    }
    if (const auto error = read_labels(labels, options)) {
        return tl::unexpected(usage{*error, true});
    }
    return options;
}

} // namespace boragehollow::standin
