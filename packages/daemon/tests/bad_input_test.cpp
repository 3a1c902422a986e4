#include "raw_socket.hpp"
#include "two_hosts.hpp"

#include "boragehollow/codec/member_codec.hpp"
#include "log_server.hpp"
#include "pipeline.hpp"

#include "boragehollow/settings/load.hpp"
#include "boragehollow/telemetry/event_catalogue.hpp"

#include <gmock/gmock.h>
#include <grpcpp/grpcpp.h>
#include <peer.grpc.pb.h>

#include <fstream>
#include <thread>

namespace boragehollow::daemon {
namespace {

using namespace std::chrono_literals;
using telemetry::event_number;
using testing::exchange_bytes;
using ::testing::HasSubstr;
using testing::raw_socket;
using ::testing::StartsWith;

const char* const settings_text = R"([identity]
mesh = "test"
host = "host-a"
failure_domain = "zone-a"
region = "r"
[listeners]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peer = "127.0.0.1:0"
gossip = "127.0.0.1:0"
target = "127.0.0.1:0"
[limits]
caller_threads = 16
[platform]
)";

const char* const change_text = R"({"change_id": "setup", "operations": [
  {"put": {"kind": "service_policy", "name": "orders"}},
  {"put": {"kind": "route", "name": "orders", "path_prefix": "/orders", "service": "orders"}}]})";

const char* const announcement_head = "POST /v1/target HTTP/1.1\r\nHost: t\r\n";

std::size_t resident_bytes() {
    std::ifstream statm("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Complete daemon on loopback addresses, with a platform log and a target that announces itself.
class running_daemon {
public:
    running_daemon()
        : m_log(platform_log::log_server::start({"127.0.0.1", 0}, std::make_shared<streams::memory_log>())
                    .value()),
          m_target([](web::server_exchange& exchange) { exchange.respond(200, {}, "done"); }) {
        const std::string text =
            settings_text + ("log = \"" + common::to_string(m_log->local_endpoint()) + "\"\n");
        const auto parsed = settings::parse_settings(text);
        EXPECT_TRUE(parsed) << parsed.error().front().message;
        m_pipeline = std::move(*pipeline::start(*parsed));
        listeners = m_pipeline->listeners();
        m_announcer = std::jthread([this](const std::stop_token& stop) { announce(stop); });
        eventually([&] { return fetch(listeners.operators, "GET", "/healthz").status == 200; });
        EXPECT_EQ(fetch(listeners.operators, "POST", "/v1/changes", change_text).status, 200);
        EXPECT_TRUE(eventually([&] { return serves(); }));
    }

    web::client_response fetch(const common::endpoint& to, const char* method, const std::string& target,
                               const std::string& body = "", std::chrono::seconds timeout = 5s) {
        auto response = web::fetch(to, method, target, {}, body, timeout);
        return response ? std::move(*response) : web::client_response{};
    }

    /// True when a caller's request reaches the target and the operator API responds.
    bool serves() {
        const auto called = fetch(listeners.callers, "GET", "/orders/7");
        const auto status = fetch(listeners.operators, "GET", "/v1/status");
        return called.status == 200 && called.body == "done" && status.status == 200;
    }

    bool eventually(const std::function<bool()>& condition) {
        for (int i = 0; i < 200; ++i) {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

    bool reported(event_number number, const std::string& detail) {
        const std::string code = telemetry::event_code(static_cast<std::uint16_t>(number));
        return eventually([&] {
            const auto events =
                fetch(listeners.operators, "GET", "/v1/timeline?scope=local&limit=10000").body;
            return events.find(code) != std::string::npos && events.find(detail) != std::string::npos;
        });
    }

    std::string metric(const std::string& name) {
        const std::string all = fetch(listeners.operators, "GET", "/metrics").body;
        const std::size_t begin = all.find("\n" + name + " ");
        return begin == std::string::npos ? "" : all.substr(begin + 1, all.find('\n', begin + 1) - begin - 1);
    }

    settings::listener_settings listeners;

private:
    void announce(const std::stop_token& stop) {
        const std::string body =
            "{\"service\":\"orders\",\"slots\":8,\"port\":" + std::to_string(m_target.endpoint().port) + "}";
        while (!stop.stop_requested()) {
            fetch(listeners.target, "POST", "/v1/target", body);
            std::this_thread::sleep_for(300ms);
        }
    }

    std::unique_ptr<platform_log::log_server> m_log;
    testing::fake_target m_target;
    std::unique_ptr<pipeline> m_pipeline;
    std::jthread m_announcer;
};

struct bad_input : ::testing::Test {
    static void SetUpTestSuite() { daemon = std::make_unique<running_daemon>(); }
    static void TearDownTestSuite() { daemon.reset(); }
    void TearDown() override { EXPECT_TRUE(daemon->serves()); }

    static std::vector<common::endpoint> http_listeners() {
        return {daemon->listeners.callers, daemon->listeners.operators, daemon->listeners.target};
    }

    static inline std::unique_ptr<running_daemon> daemon;
};

std::string request(const std::string& line, const std::string& headers, const std::string& body = "") {
    return line + " HTTP/1.1\r\nHost: t\r\n" + headers + "\r\n" + body;
}

// Guards against malformed or oversized request heads that are accepted, not counted, or buffered without a
// limit.
TEST_F(bad_input, http_listeners_refuse_malformed_heads) {
    const std::vector<std::string> heads{
        "\x16\x03\x01\x02\x01\x01\x01\x01\xfc\x03\x03 hello\r\n\r\n",
        "GET\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "GET /\xff\xfe\x01 HTTP/1.1\r\nHost: t\r\n\r\n",
        request("GET /", "X: " + std::string(100'000, 'x') + "\r\n"),
        "GET /" + std::string(100'000, 'a') + " HTTP/1.1\r\nHost: t\r\n\r\n",
        request("GET /", "no colon in this line\r\n"),
    };
    const std::size_t before = resident_bytes();
    for (const common::endpoint& to : http_listeners()) {
        for (const std::string& head : heads) {
            for (int i = 0; i < 20; ++i) {
                raw_socket(to, SOCK_STREAM).send(head);
            }
            const std::string response = exchange_bytes(to, head, 200ms);
            EXPECT_THAT(response, ::testing::Not(HasSubstr(" 200 "))) << head.substr(0, 40);
        }
    }
    EXPECT_LT(resident_bytes(), before + 64'000'000);
    for (const char* listener : {"callers", "operators", "target"}) {
        const std::string name =
            std::string("boragehollow_http_rejected_total{listener=\"") + listener + "\"}";
        EXPECT_NE(daemon->metric(name), "");
        EXPECT_NE(daemon->metric(name), name + " 0");
    }
}

// Guards against request smuggling: a proxy in front of the daemon could disagree with it about where such a
// request ends, and the daemon would take the rest of the body for another request.
TEST_F(bad_input, ambiguous_lengths_are_refused_and_the_connection_ends) {
    const std::vector<std::string> headers{
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 4\r\nContent-Length: 30\r\n",
        "Content-Length: 4x\r\n",
        "Content-Length: -4\r\n",
        "Content-Length: 99999999999999999999999\r\n",
        "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
    };
    const std::string smuggled = "GET /orders/smuggled HTTP/1.1\r\nHost: t\r\n\r\n";
    for (const std::string& each : headers) {
        for (const auto& [to, line] : {std::pair{daemon->listeners.callers, "POST /orders/1"},
                                       std::pair{daemon->listeners.operators, "POST /v1/changes"},
                                       std::pair{daemon->listeners.target, "POST /v1/target"}}) {
            const std::string response =
                exchange_bytes(to, request(line, each, "0\r\n\r\n" + smuggled), 300ms);
            EXPECT_THAT(response, StartsWith("HTTP/1.1 4")) << line << " " << each;
            EXPECT_EQ(response.find("HTTP/1.1", 1), std::string::npos) << line << " " << each;
        }
    }
}

// Guards against path traversal: an escaped dot segment leaves the prefix of its route as soon as the target
// decodes the path.
TEST_F(bad_input, paths_that_leave_their_route_are_refused) {
    for (const char* path :
         {"/orders/../admin", "/orders/%2e%2e/admin", "/orders/.%2E/admin", "/orders/..%2fadmin",
          "/orders/%2e%2e%5cadmin", "/orders/..\\admin", "/orders/%00", "/orders/%zz", "/orders/%2"}) {
        const std::string response = exchange_bytes(
            daemon->listeners.callers, request(std::string("GET ") + path, "Connection: close\r\n"));
        EXPECT_THAT(response, StartsWith("HTTP/1.1 400")) << path;
    }
    EXPECT_EQ(daemon->fetch(daemon->listeners.callers, "GET", "/orders/a%20b/..c").status, 200);
}

// Guards against lost or reordered responses when a client sends requests without waiting for responses.
TEST_F(bad_input, pipelined_requests_get_all_responses_in_order) {
    std::string requests;
    for (int i = 0; i < 20; ++i) {
        requests += request("GET /orders/" + std::to_string(i), "");
    }
    const std::string response = exchange_bytes(daemon->listeners.callers, requests);
    std::size_t response_count = 0;
    for (std::size_t position = response.find("HTTP/1.1 200"); position != std::string::npos;
         position = response.find("HTTP/1.1 200", position + 1)) {
        ++response_count;
    }
    EXPECT_EQ(response_count, 20U);
}

// Guards against a stack overflow: a recursive parser would exhaust the small stacks of CivetWeb's worker
// threads on a deeply nested document.
TEST_F(bad_input, bad_documents_get_a_short_clear_error) {
    std::string many_fields = "{";
    for (int i = 0; i < 20'000; ++i) {
        many_fields += "\"f" + std::to_string(i) + "\":1,";
    }
    const std::vector<std::string> documents{
        std::string(500'000, '['),
        std::string(200'000, '[') + std::string(200'000, ']'),
        "{\"operations\":" + std::string(200'000, '[') + std::string(200'000, ']') + "}",
        many_fields + "\"x\":1}",
        "{\"change_id\": \"\xff\xfe\"}",
        "",
        std::string("\0\0", 2),
        "{\"change_id\": \"a\", \"change_id\": \"b\"}",
    };
    for (const std::string& document : documents) {
        for (const char* path : {"/v1/changes", "/v1/resources/route/a"}) {
            const char* method = std::string_view(path) == "/v1/changes" ? "POST" : "PUT";
            const auto response = daemon->fetch(daemon->listeners.operators, method, path, document);
            EXPECT_EQ(response.status, 400) << document.substr(0, 40);
            EXPECT_LT(response.body.size(), 40'000U) << document.substr(0, 40);
        }
    }
    EXPECT_EQ(
        daemon->fetch(daemon->listeners.operators, "POST", "/v1/changes", std::string(2'000'000, ' ')).status,
        413);
    EXPECT_NE(daemon->metric("boragehollow_http_client_errors_total{listener=\"operators\"}"), "");
}

// Guards against invalid, oversized or incomplete announcements that reach the member table.
TEST_F(bad_input, bad_announcements_are_refused) {
    std::string labels;
    for (int i = 0; i < 17; ++i) {
        labels += (i > 0 ? ",\"" : "\"") + std::to_string(i) + "\":\"v\"";
    }
    for (const std::string& body :
         {std::string("{}"), std::string("{\"service\":\"a b\",\"port\":1}"),
          std::string("{\"service\":\"orders\",\"port\":70000}"),
          std::string("{\"service\":\"orders\",\"port\":1,\"slots\":0}"),
          "{\"service\":\"orders\",\"port\":1,\"labels\":{" + labels + "}}",
          "{\"service\":\"orders\",\"port\":1,\"labels\":{\"a\":\"" + std::string(900, 'v') + "\"}}",
          std::string(10'000, '[')}) {
        const auto response = daemon->fetch(daemon->listeners.target, "POST", "/v1/target", body);
        EXPECT_EQ(response.status, 400) << body.substr(0, 60);
    }
    EXPECT_EQ(daemon->fetch(daemon->listeners.target, "POST", "/v1/target", std::string(20'000, ' ')).status,
              413);
    const std::string early = announcement_head + std::string("Content-Length: 50\r\n\r\n{");
    raw_socket socket(daemon->listeners.target, SOCK_STREAM);
    socket.send(early);
    socket.end_sending();
    EXPECT_THAT(socket.receive(2s), StartsWith("HTTP/1.1 400"));
}

// Guards against idle or slow clients that occupy all threads of a listener for good. Valid requests may be
// delayed for a bounded time, but must not be lost.
TEST_F(bad_input, idle_and_slow_clients_do_not_block_valid_requests) {
    std::vector<raw_socket> held;
    for (const common::endpoint& to : http_listeners()) {
        for (int i = 0; i < 24; ++i) {
            held.emplace_back(to, SOCK_STREAM);
            ASSERT_TRUE(held.back().connected());
            if (i % 3 == 1) {
                held.back().send("GET /orders/slow HT");
            } else if (i % 3 == 2) {
                held.back().send("POST /v1/target HTTP/1.1\r\nHost: t\r\nContent-Length: 100\r\n\r\n{");
            }
        }
    }
    EXPECT_EQ(daemon->fetch(daemon->listeners.operators, "GET", "/v1/status", "", 20s).status, 200);
    EXPECT_EQ(daemon->fetch(daemon->listeners.callers, "GET", "/orders/7", "", 30s).status, 200);
}

// Guards against running a call whose body is incomplete, because the caller closed the connection early.
TEST_F(bad_input, body_that_ends_early_is_refused_as_not_run) {
    raw_socket socket(daemon->listeners.callers, SOCK_STREAM);
    socket.send(request("POST /orders/1", "Content-Length: 1000\r\n", "short"));
    socket.end_sending();
    const std::string response = socket.receive(2s);
    EXPECT_THAT(response, StartsWith("HTTP/1.1 400"));
    EXPECT_THAT(response, HasSubstr("boragehollow-outcome: not_run"));
}

std::string datagram_of(const std::string& mesh, std::uint32_t protocol) {
    peer::v1::Datagram message;
    message.mutable_header()->set_mesh(mesh);
    message.mutable_header()->set_protocol(protocol);
    message.mutable_header()->set_from_host("host-b");
    message.mutable_header()->set_hlc_wall_us(~std::uint64_t{0});
    message.mutable_ping()->set_sequence(1);
    return message.SerializeAsString();
}

// Guards against truncated, oversized or foreign datagrams that crash the daemon or are dropped without an
// event.
TEST_F(bad_input, gossip_reports_invalid_datagrams) {
    raw_socket socket(daemon->listeners.gossip, SOCK_DGRAM);
    const std::string valid = datagram_of("test", codec::datagram_protocol);
    for (std::size_t size = 0; size < valid.size(); ++size) {
        socket.send(valid.substr(0, size));
    }
    socket.send(std::string(60'000, '\xff'));
    EXPECT_TRUE(daemon->reported(event_number::datagram_invalid, "127.0.0.1"));
    socket.send(datagram_of("other-mesh", codec::datagram_protocol));
    EXPECT_TRUE(daemon->reported(event_number::datagram_invalid, "datagram of the mesh 'other-mesh'"));
    socket.send(datagram_of("test", 9'999));
    EXPECT_TRUE(daemon->reported(event_number::datagram_invalid, "unknown protocol number 9999"));
}

grpc::StatusCode pull(peer::v1::Peer::Stub& stub, const std::string& mesh, std::uint32_t protocol) {
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + 5s);
    peer::v1::PullRequest message;
    message.mutable_header()->set_mesh(mesh);
    message.mutable_header()->set_protocol(protocol);
    message.mutable_header()->set_hlc_wall_us(~std::uint64_t{0});
    message.set_version(~std::uint64_t{0});
    peer::v1::PullReply reply;
    return stub.Pull(&context, message, &reply).error_code();
}

// Guards against exchanging configuration with a daemon of another mesh or of an incompatible protocol.
TEST_F(bad_input, peer_listener_refuses_other_meshes_and_protocols) {
    const auto stub = peer::v1::Peer::NewStub(
        grpc::CreateChannel(common::to_string(daemon->listeners.peer), grpc::InsecureChannelCredentials()));
    EXPECT_EQ(pull(*stub, "other", peer::current_protocol), grpc::StatusCode::FAILED_PRECONDITION);
    EXPECT_TRUE(daemon->reported(event_number::peer_wrong_mesh, "another mesh"));
    EXPECT_EQ(pull(*stub, "test", 9'999), grpc::StatusCode::FAILED_PRECONDITION);
    EXPECT_TRUE(daemon->reported(event_number::peer_wrong_protocol, "unknown protocol number"));
    EXPECT_EQ(pull(*stub, "test", peer::current_protocol), grpc::StatusCode::OK);
}

// Guards against a peer listener that stops serving after connections with invalid bytes.
TEST_F(bad_input, peer_listener_keeps_serving_after_bytes_that_are_not_grpc) {
    const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    std::vector<raw_socket> left_open;
    for (const std::string& bytes :
         {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(100'000, '\xff'),
          preface + std::string(100'000, '\0'),
          preface + std::string("\xff\xff\xff\x04\x00\x00\x00\x00\x00", 9) + std::string(100'000, 'x'),
          preface}) {
        for (int i = 0; i < 20; ++i) {
            raw_socket(daemon->listeners.peer, SOCK_STREAM).send(bytes);
            left_open.emplace_back(daemon->listeners.peer, SOCK_STREAM);
            left_open.back().send(bytes);
        }
    }
    const auto stub = peer::v1::Peer::NewStub(
        grpc::CreateChannel(common::to_string(daemon->listeners.peer), grpc::InsecureChannelCredentials()));
    EXPECT_EQ(pull(*stub, "test", peer::current_protocol), grpc::StatusCode::OK);
}

// Guards against a deadline that never ends because a time beyond the range of the clock overflows.
TEST_F(bad_input, calls_with_out_of_range_times_or_without_a_head_get_a_reply) {
    const auto stub = peer::v1::Peer::NewStub(
        grpc::CreateChannel(common::to_string(daemon->listeners.peer), grpc::InsecureChannelCredentials()));
    for (const bool with_head : {false, true}) {
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + 5s);
        const auto stream = stub->Call(&context);
        peer::v1::CallRequest message;
        if (with_head) {
            auto& head = *message.mutable_head();
            head.mutable_header()->set_mesh("test");
            head.mutable_header()->set_protocol(peer::current_protocol);
            head.set_service("orders");
            head.set_call_id("impossible-times");
            head.set_method("GET");
            head.set_target_path("/orders/1");
            head.set_remaining_us(~std::uint64_t{0});
            head.set_deadline_wall_us(~std::uint64_t{0});
            message.set_end(true);
        }
        stream->Write(message);
        stream->WritesDone();
        peer::v1::CallReply reply;
        EXPECT_EQ(stream->Read(&reply), with_head);
        while (stream->Read(&reply)) {
        }
        EXPECT_EQ(stream->Finish().error_code(),
                  with_head ? grpc::StatusCode::OK : grpc::StatusCode::FAILED_PRECONDITION);
    }
}

} // namespace
} // namespace boragehollow::daemon
