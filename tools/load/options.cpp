#include "options.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <optional>
#include <sstream>

namespace boragehollow::load {

namespace po = boost::program_options;

namespace {

po::typed_value<std::int64_t>* duration_option(milliseconds& value) {
    return po::value<std::int64_t>()->default_value(value.count())->notifier([&value](std::int64_t count) {
        value = milliseconds(count);
    });
}

std::optional<std::string> read_servers(const std::vector<std::string>& texts, load_options& options) {
    for (const std::string& text : texts) {
        const auto server = common::parse_endpoint(text);
        if (!server) {
            return server.error();
        }
        options.servers.push_back(*server);
    }
    if (options.servers.empty()) {
        return "option --to is required";
    }
    return std::nullopt;
}

std::optional<std::string> read_steps(double rate, const std::vector<std::string>& texts,
                                      load_options& options) {
    options.steps = {{milliseconds(0), rate}};
    for (const std::string& text : texts) {
        std::istringstream in(text);
        std::int64_t at = 0;
        double per_second = 0;
        char colon = 0;
        if (!(in >> at >> colon >> per_second) || colon != ':' || !in.eof() || at < 0 || per_second < 0) {
            return "invalid step '" + text + "': expected MILLISECONDS:RATE";
        }
        options.steps.push_back({milliseconds(at), per_second});
    }
    std::stable_sort(options.steps.begin(), options.steps.end(),
                     [](const rate_step& left, const rate_step& right) { return left.at < right.at; });
    return std::nullopt;
}

std::optional<std::string> check(const load_options& options) {
    const request_mix& mix = options.mix;
    const double total = mix.short_work + mix.order + mix.long_work + mix.upload + mix.download;
    if (!(total > 0) || options.workers == 0 || options.callers == 0) {
        return "the total of the shares, --workers and --callers must be greater than 0";
    }
    return std::nullopt;
}

} // namespace

tl::expected<load_options, usage_message> parse_load_options(int argc, const char* const* argv) {
    load_options options;
    std::vector<std::string> servers;
    std::vector<std::string> steps;
    double rate = 100;
    po::options_description description("boragehollow_load: open-loop load generator");
    auto add = description.add_options();
    add("help", "print this text");
    add("to", po::value(&servers)->composing(),
        "ADDRESS:PORT of a daemon or target; may be repeated, used round-robin");
    add("host", po::value(&options.host), "Host header");
    add("rate", po::value(&rate), "initial arrivals per second");
    add("step", po::value(&steps)->composing(),
        "MILLISECONDS:RATE: changes the rate at this time after the start");
    add("duration-ms", duration_option(options.duration), "duration of the arrivals");
    add("max-requests", po::value(&options.max_requests), "maximum number of requests");
    add("short", po::value(&options.mix.short_work), "share of short requests (GET)");
    add("order", po::value(&options.mix.order), "share of orders (POST with an idempotency key)");
    add("long", po::value(&options.mix.long_work), "share of long requests (GET)");
    add("upload", po::value(&options.mix.upload), "share of uploads (PUT)");
    add("download", po::value(&options.mix.download), "share of downloads (GET)");
    add("short-path", po::value(&options.short_path), "path of short requests");
    add("order-path", po::value(&options.order_path), "path of orders");
    add("long-path", po::value(&options.long_path), "path of long requests");
    add("upload-path", po::value(&options.upload_path), "path of uploads");
    add("download-path", po::value(&options.download_path), "path of downloads");
    add("short-work-ms", duration_option(options.short_work),
        "processing time of short requests; 0: the target's default");
    add("long-work-ms", duration_option(options.long_work), "processing time of long requests");
    add("upload-bytes", po::value(&options.upload_bytes), "size of an upload");
    add("download-bytes", po::value(&options.download_bytes), "size of a download");
    add("chunked-upload", po::bool_switch(&options.chunked_upload), "send uploads with chunked encoding");
    add("callers", po::value(&options.callers), "number of callers");
    add("caller-header", po::value(&options.caller_header), "header that names the caller");
    add("first-caller-share", po::value(&options.first_caller_share),
        "share assigned to the first caller before the rest is spread over all");
    add("workers", po::value(&options.workers), "maximum number of concurrent requests");
    add("fresh-connections", po::bool_switch(&options.fresh_connections),
        "open a new connection for each request");
    add("deadline-ms", duration_option(options.deadline), "boragehollow-deadline-ms header; 0: none");
    add("timeout-ms", duration_option(options.timeout), "response timeout");
    add("grace-ms", duration_option(options.grace),
        "how long to keep sending queued requests after the last arrival");
    add("seed", po::value(&options.seed), "random seed for arrivals and request ids");
    add("answers", po::value(&options.answers), "file for one JSON line per request");
    add("summary", po::value(&options.summary), "file for the summary as JSON");
    std::ostringstream help;
    help << description;
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
        if (values.contains("help")) {
            return tl::unexpected(usage_message{help.str(), false});
        }
    } catch (const po::error& error) {
        return tl::unexpected(usage_message{std::string(error.what()) + "\n" + help.str(), true});
    }
    for (const auto& error :
         {read_servers(servers, options), read_steps(rate, steps, options), check(options)}) {
        if (error) {
            return tl::unexpected(usage_message{*error, true});
        }
    }
    return options;
}

} // namespace boragehollow::load
