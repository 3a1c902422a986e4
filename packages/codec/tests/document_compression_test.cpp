#include "boragehollow/codec/document_compression.hpp"

#include <gtest/gtest.h>

#include <random>

namespace boragehollow::codec {
namespace {

std::string routes_document(std::size_t routes) {
    std::string text = R"({"routes":{)";
    for (std::size_t i = 0; i < routes; ++i) {
        text += R"("r)" + std::to_string(i) + R"(":{"host":"a.example","prefix":"/x)" + std::to_string(i) +
                R"(/","service":"desk","timeout":"2500ms"},)";
    }
    return text + "}}";
}

// Guards against daemons that activate different documents because the transfer changed the bytes.
TEST(document_compression, documents_survive_round_trip) {
    for (const std::string& document : {std::string(), std::string("x"), routes_document(1'120)}) {
        const auto decoded = decompress_document(compress_document(document));
        ASSERT_TRUE(decoded);
        EXPECT_EQ(*decoded, document);
    }
}

// Guards against transfers that saturate a slow link: a daemon that reads from the platform sends the
// document to all other daemons of its failure domain.
TEST(document_compression, similar_routes_compress_to_a_fifth_or_less) {
    const std::string document = routes_document(1'120);
    EXPECT_LT(compress_document(document).size() * 5, document.size());
}

// Guards against memory exhaustion by a size prefix that another daemon sends.
TEST(document_compression, rejects_size_prefix_over_the_limit) {
    const auto decoded = decompress_document(std::string("\xff\xff\xff\xff", 4));
    ASSERT_FALSE(decoded);
    EXPECT_TRUE(std::holds_alternative<too_large>(decoded.error()));
}

// Guards against a crash or a wrong document after bytes were truncated or changed in transit.
TEST(document_compression, rejects_corrupt_bytes) {
    const std::string bytes = compress_document(routes_document(50));
    for (std::size_t length = 0; length < bytes.size(); length += 7) {
        EXPECT_FALSE(decompress_document(std::string_view(bytes).substr(0, length))) << length;
    }
    std::mt19937 random(7);
    for (int iteration = 0; iteration < 500; ++iteration) {
        std::string corrupt = bytes;
        char& byte = corrupt[random() % corrupt.size()];
        byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1 + random() % 255));
        const auto decoded = decompress_document(corrupt);
        EXPECT_TRUE(!decoded || *decoded == routes_document(50)) << iteration;
    }
}

} // namespace
} // namespace boragehollow::codec
