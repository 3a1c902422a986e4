#include "boragehollow/cli/run.hpp"

#include "boragehollow/cli/change_submission.hpp"
#include "boragehollow/cli/file_check.hpp"
#include "boragehollow/cli/http_client.hpp"
#include "boragehollow/cli/render.hpp"
#include "boragehollow/codec/change_json.hpp"
#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/common/random_source.hpp"
#include "boragehollow/common/time.hpp"
#include "boragehollow/config/limits.hpp"
#include "boragehollow/config/names.hpp"

#include <ostream>
#include <thread>

namespace boragehollow::cli {

namespace {

using codec::json;
using common::steady_clock;
using std::chrono::milliseconds;

/// Pause before `watch` reconnects.
constexpr milliseconds reconnect_delay{500};

std::string detail_of(const transport_error& error) {
    return std::visit([](const auto& cause) { return cause.detail; }, error);
}

class command_runner {
public:
    command_runner(const invocation& call, std::ostream& out, std::ostream& err)
        : m_connection(call.connection), m_output(call.output), m_out(out), m_err(err) {}

    exit_code operator()(const apply_command& apply) const {
        const auto text = read_file(apply.file);
        if (!text) {
            return report({text.error()}, m_err);
        }
        auto operations = read_change_file(apply.file, *text);
        if (!operations) {
            return report(operations.error(), m_err);
        }
        return submit(apply.change_id, apply.author, *std::move(operations));
    }

    exit_code operator()(const delete_command& removal) const {
        return submit(removal.change_id, removal.author,
                      {config::delete_operation{removal.key, removal.expected}});
    }

    exit_code operator()(const get_command& get) const {
        std::string target = "/v1/resources";
        if (get.kind) {
            target += "/" + std::string(config::to_string(*get.kind));
        }
        if (get.name) {
            target += "/" + percent_encode(*get.name);
        }
        return query(target, render_resources);
    }

    exit_code operator()(const status_command& status) const {
        std::string target = "/v1/status";
        if (status.at_least) {
            target += "?revision=" + std::to_string(status.at_least->value);
        }
        return query(target, render_status);
    }

    exit_code operator()(const accounts_command&) const { return query("/v1/accounts", render_accounts); }

    exit_code operator()(const timeline_command& timeline) const {
        return query("/v1/timeline?limit=" + std::to_string(timeline.limit), render_timeline);
    }

    exit_code operator()(const watch_command& watch) const {
        std::optional<common::revision> from = watch.from;
        auto connected_until = steady_clock::now() + m_connection.timeout;
        while (true) {
            const std::string target =
                "/v1/watch" + (from ? "?from=" + std::to_string(from->value) : std::string());
            const auto ended = watch_once(target, from);
            if (ended && ended->status != 200) {
                m_err << "boragehollow: " << error_detail(*ended) << '\n';
                return exit_code::failed;
            }
            const bool was_connected = ended || std::holds_alternative<response_lost>(ended.error());
            if (was_connected) {
                connected_until = steady_clock::now() + m_connection.timeout;
            }
            if (steady_clock::now() + reconnect_delay >= connected_until) {
                m_err << "boragehollow: " << detail_of(ended.error()) << '\n';
                return exit_code::not_reachable;
            }
            std::this_thread::sleep_for(reconnect_delay);
        }
    }

    exit_code operator()(const check_command& check) const {
        const std::vector<file_error> errors = check_files(check.files);
        if (m_output == output_format::table) {
            return report(errors, m_out);
        }
        json list = json::array();
        for (const file_error& error : errors) {
            list.push_back(
                {{"file", error.file}, {"line", error.line}, {"key", error.key}, {"detail", error.detail}});
        }
        m_out << codec::dump_json({{"faults", list}}, 2) << '\n';
        return errors.empty() ? exit_code::done : exit_code::failed;
    }

    exit_code operator()(const version_command&) const {
        if (m_output == output_format::json) {
            m_out << codec::dump_json(
                         {{"version", BORAGEHOLLOW_VERSION}, {"schema", config::newest_known_schema}})
                  << '\n';
        } else {
            m_out << "boragehollow " BORAGEHOLLOW_VERSION ", schema " << config::newest_known_schema << '\n';
        }
        return exit_code::done;
    }

    exit_code operator()(const help_command& help) const {
        m_out << help.text;
        return exit_code::done;
    }

private:
    static exit_code report(const std::vector<file_error>& errors, std::ostream& stream) {
        for (const file_error& error : errors) {
            stream << to_string(error) << '\n';
        }
        return errors.empty() ? exit_code::done : exit_code::failed;
    }

    exit_code submit(const std::optional<std::string>& given_id, const std::string& author,
                     std::vector<config::operation> operations) const {
        const std::string id = given_id ? *given_id : common::random_source::from_system().identifier();
        const config::change change{id, author, config::newest_known_schema, std::move(operations)};
        const http_request post{"POST", "/v1/changes", codec::dump_json(codec::to_json(change))};
        const http_request outcome_query{"GET", "/v1/changes/" + percent_encode(id)};
        change_submission submission(id, steady_clock::now() + m_connection.timeout);
        submission_step step = send_change{};
        while (!std::holds_alternative<submission_result>(step)) {
            const auto send = std::get_if<send_change>(&step);
            std::this_thread::sleep_for(send != nullptr ? send->delay : std::get<query_outcome>(step).delay);
            const auto attempt = send_request(m_connection.daemon, send != nullptr ? post : outcome_query,
                                              m_connection.timeout);
            step = submission.next(attempt, steady_clock::now());
        }
        return finish(id, std::get<submission_result>(step));
    }

    exit_code finish(const std::string& id, const submission_result& end) const {
        if (end.outcome && m_output == output_format::json) {
            m_out << codec::dump_json(codec::to_json(*end.outcome), 2) << '\n';
        } else if (end.outcome) {
            (end.code == exit_code::done ? m_out : m_err) << render_outcome(*end.outcome);
        } else {
            m_err << "boragehollow: change " << id << ": " << end.detail << '\n';
        }
        if (end.code == exit_code::outcome_unknown) {
            m_err << "boragehollow: the outcome is unknown; retry the command with --change-id " << id
                  << '\n';
        }
        return end.code;
    }

    template <class Render>
    exit_code query(const std::string& target, Render render) const {
        const auto response = send_request(m_connection.daemon, {"GET", target}, m_connection.timeout);
        if (!response) {
            m_err << "boragehollow: " << detail_of(response.error()) << '\n';
            return exit_code::not_reachable;
        }
        if (response->status != 200) {
            m_err << "boragehollow: " << error_detail(*response) << '\n';
            return exit_code::failed;
        }
        const auto body = codec::parse_json(response->body);
        if (!body) {
            m_err << "boragehollow: the response is not valid JSON: " << codec::to_string(body.error())
                  << '\n';
            return exit_code::failed;
        }
        m_out << (m_output == output_format::json ? codec::dump_json(*body, 2) + "\n" : render(*body));
        return exit_code::done;
    }

    /// Prints lines until the connection ends, and advances `from` past the last printed revision.
    tl::expected<http_response, transport_error> watch_once(const std::string& target,
                                                            std::optional<common::revision>& from) const {
        std::string line;
        return stream_request(m_connection.daemon, {"GET", target}, m_connection.timeout,
                              [&](std::string_view part) {
                                  for (const char c : part) {
                                      if (c != '\n') {
                                          line += c;
                                          continue;
                                      }
                                      print_watch_line(line, from);
                                      line.clear();
                                  }
                                  return m_out.good();
                              });
    }

    void print_watch_line(const std::string& line, std::optional<common::revision>& from) const {
        // The daemon sends empty lines as a keep-alive.
        if (line.empty()) {
            return;
        }
        const auto value = codec::parse_json(line);
        if (!value || !value->is_object()) {
            m_err << "boragehollow: a line of the watch is not a JSON object\n";
            return;
        }
        const json& source = value->contains("snapshot") ? value->at("snapshot") : *value;
        const char* field = value->contains("snapshot") ? "version" : "revision";
        if (source.is_object() && source.contains(field) && source.at(field).is_number_unsigned()) {
            from = common::revision{source.at(field).get<std::uint64_t>()}.next();
        }
        m_out << (m_output == output_format::json ? line + "\n" : render_watch_line(*value)) << std::flush;
    }

    const connection_options& m_connection;
    output_format m_output;
    std::ostream& m_out;
    std::ostream& m_err;
};

} // namespace

exit_code run(const invocation& call, std::ostream& out, std::ostream& err) {
    return std::visit(command_runner(call, out, err), call.action);
}

} // namespace boragehollow::cli
