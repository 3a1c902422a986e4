#include "boragehollow/web/headers.hpp"

#include <gtest/gtest.h>

namespace boragehollow::web {
namespace {

// Guards against forwarded hop-by-hop headers, which would break framing or keep-alive on the next hop.
TEST(headers, drops_hop_by_hop_headers_and_headers_listed_in_connection) {
    const header_list received{{"Connection", "keep-alive, X-Trace"},
                               {"X-Trace", "1"},
                               {"Transfer-Encoding", "chunked"},
                               {"Content-Length", "3"},
                               {"Accept", "text/plain"}};
    EXPECT_EQ(end_to_end_headers(received), (header_list{{"Accept", "text/plain"}}));
}

// Guards against a header that is not found because the peer writes its name in another case.
TEST(headers, lookup_ignores_case) {
    const header_list received{{"Idempotency-Key", "k1"}};
    EXPECT_EQ(find_header(received, "idempotency-key"), "k1");
    EXPECT_EQ(find_header(received, "missing"), std::nullopt);
}

} // namespace
} // namespace boragehollow::web
