#include "boragehollow/cli/http_client.hpp"
#include "boragehollow/cli/run.hpp"
#include "boragehollow/common/scope_guard.hpp"

#include <arpa/inet.h>
#include <civetweb.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <deque>
#include <fstream>
#include <memory>
#include <mutex>
#include <sstream>

namespace boragehollow::cli {
namespace {

/// Fake daemon that sends scripted response bytes in order; an empty entry closes the connection without a
/// response. All tests share one server, since the HTTP library takes 2 s to stop.
class scripted_daemon {
public:
    scripted_daemon() {
        const char* options[] = {"listening_ports", "127.0.0.1:0", "num_threads", "2", nullptr};
        mg_callbacks callbacks{};
        callbacks.begin_request = handle_request;
        m_server.reset(mg_start(&callbacks, this, options));
    }

    std::uint16_t port() const {
        mg_server_port found{};
        mg_get_server_ports(m_server.get(), 1, &found);
        return static_cast<std::uint16_t>(found.port);
    }

    void script(std::deque<std::string> responses) {
        const std::scoped_lock lock(m_mutex);
        m_responses = std::move(responses);
        m_requests.clear();
    }

    std::vector<std::string> requests() const {
        const std::scoped_lock lock(m_mutex);
        return m_requests;
    }

private:
    static int handle_request(mg_connection* connection) {
        auto* self = static_cast<scripted_daemon*>(mg_get_user_data(mg_get_context(connection)));
        const mg_request_info* info = mg_get_request_info(connection);
        const std::string query = info->query_string == nullptr ? "" : std::string("?") + info->query_string;
        std::string body(static_cast<std::size_t>(std::max(info->content_length, 0LL)), '\0');
        mg_read(connection, body.data(), body.size());
        const std::scoped_lock lock(self->m_mutex);
        self->m_requests.push_back(std::string(info->request_method) + " " + info->request_uri + query + " " +
                                   body);
        if (!self->m_responses.empty()) {
            mg_write(connection, self->m_responses.front().data(), self->m_responses.front().size());
            self->m_responses.pop_front();
        }
        mg_disable_keep_alive(connection);
        return 200;
    }

    struct stopper {
        void operator()(mg_context* context) const { mg_stop(context); }
    };

    mutable std::mutex m_mutex;
    std::deque<std::string> m_responses;
    std::vector<std::string> m_requests;
    std::unique_ptr<mg_context, stopper> m_server;
};

std::string response(int status, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\nConnection: close\r\n\r\n" + body;
}

class run_test : public testing::Test {
protected:
    static void SetUpTestSuite() { s_daemon = std::make_unique<scripted_daemon>(); }
    static void TearDownTestSuite() { s_daemon.reset(); }

    exit_code run_with(const std::vector<std::string>& arguments) {
        return run_with(arguments, s_daemon->port());
    }

    exit_code run_with(const std::vector<std::string>& arguments, std::uint16_t port) {
        auto call = parse_arguments(arguments);
        EXPECT_TRUE(call) << call.error().detail;
        call->connection.daemon.port = port;
        return run(*call, m_out, m_err);
    }

    static std::unique_ptr<scripted_daemon> s_daemon;
    std::ostringstream m_out;
    std::ostringstream m_err;
};

std::unique_ptr<scripted_daemon> run_test::s_daemon;

// Guards against a change that is retried under a new id after its response was lost.
TEST_F(run_test, keeps_the_change_id_after_a_lost_response) {
    s_daemon->script({"", response(409, R"({"change_id":"c1","author":"a","revision":8,"verdict":"rejected",
                                                  "reason":"duplicate"})"),
                      response(200, R"({"change_id":"c1","author":"a","revision":7,"verdict":"accepted"})")});
    EXPECT_EQ(run_with({"delete", "route", "r", "--change-id", "c1"}), exit_code::done);
    EXPECT_EQ(m_out.str(), "accepted at revision 7 (change c1)\n");
    const auto requests = s_daemon->requests();
    ASSERT_EQ(requests.size(), 3U);
    EXPECT_EQ(requests[0], requests[1]);
    EXPECT_EQ(requests[0].rfind("POST /v1/changes", 0), 0U);
    EXPECT_EQ(requests[2], "GET /v1/changes/c1 ");
}

TEST_F(run_test, rejects_a_truncated_response_body) {
    s_daemon->script({"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"version\":1}"});
    EXPECT_EQ(run_with({"get"}), exit_code::not_reachable);
    EXPECT_EQ(m_out.str(), "");
}

TEST_F(run_test, prints_the_response_of_the_daemon) {
    s_daemon->script(
        {response(200, R"({"version":1,"resources":[]})"),
         response(404, R"({"outcome":"not_run","reason":"not_found","detail":"no such route"})")});
    EXPECT_EQ(run_with({"get", "-o", "json"}), exit_code::done);
    EXPECT_NE(m_out.str().find("\"version\": 1"), std::string::npos);
    EXPECT_EQ(run_with({"get", "route", "r"}), exit_code::failed);
    EXPECT_NE(m_err.str().find("no such route"), std::string::npos);
    EXPECT_EQ(s_daemon->requests().back(), "GET /v1/resources/route/r ");
}

// Guards against a watch that misses or repeats changes when its connection is lost.
TEST_F(run_test, watch_resumes_after_the_last_printed_revision) {
    s_daemon->script(
        {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n\n{\"revision\":3,\"verdict\":\"accepted\"}\n{\"rev",
         response(400, R"({"outcome":"not_run","reason":"end of the test"})")});
    EXPECT_EQ(run_with({"watch"}), exit_code::failed);
    EXPECT_EQ(m_out.str(), "3 accepted\n");
    EXPECT_EQ(s_daemon->requests().back(), "GET /v1/watch?from=4 ");
}

TEST_F(run_test, reports_an_unreachable_daemon) {
    // A bound socket that does not listen refuses connections and keeps its port from others.
    const int socket_handle = socket(AF_INET, SOCK_STREAM, 0);
    const common::scope_guard closer([socket_handle] { close(socket_handle); });
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    ASSERT_EQ(bind(socket_handle, reinterpret_cast<sockaddr*>(&address), length), 0);
    ASSERT_EQ(getsockname(socket_handle, reinterpret_cast<sockaddr*>(&address), &length), 0);
    const std::uint16_t port = ntohs(address.sin_port);
    EXPECT_EQ(run_with({"status", "--timeout", "1s"}, port), exit_code::not_reachable);
    EXPECT_EQ(run_with({"delete", "route", "r", "--timeout", "300ms"}, port), exit_code::not_reachable);
}

// Guards against a name that changes the path or injects header lines into the request.
TEST_F(run_test, encodes_names_in_paths) {
    EXPECT_EQ(percent_encode("a-1.b/c?d \r\n\xc3"), "a-1.b%2Fc%3Fd%20%0D%0A%C3");
}

TEST_F(run_test, sends_nothing_when_the_file_is_invalid) {
    const std::string path = testing::TempDir() + "boragehollow_faulty.json";
    std::ofstream(path) << R"({"kind":"route","name":"r"})";
    s_daemon->script({});
    EXPECT_EQ(run_with({"apply", "-f", path}), exit_code::failed);
    EXPECT_EQ(run_with({"check", path}, 0), exit_code::failed);
    EXPECT_EQ(m_err.str(), path + ": service: is required\n");
    EXPECT_EQ(m_out.str(), m_err.str());
    EXPECT_TRUE(s_daemon->requests().empty());
    std::remove(path.c_str());
    EXPECT_EQ(run_with({"check", path}, 0), exit_code::failed);
}

TEST_F(run_test, check_reports_the_errors_of_settings_with_their_lines) {
    const std::string path = testing::TempDir() + "boragehollow_faulty.toml";
    const common::scope_guard remover([&path] { std::remove(path.c_str()); });
    std::ofstream(path) << "[listeners]\noperators = 7\nno_such = 1\n";
    EXPECT_EQ(run_with({"check", path}, 0), exit_code::failed);
    EXPECT_NE(m_out.str().find(path + ":2: listeners.operators: "), std::string::npos) << m_out.str();
    EXPECT_NE(m_out.str().find(path + ":3: listeners.no_such: "), std::string::npos) << m_out.str();
}

} // namespace
} // namespace boragehollow::cli
