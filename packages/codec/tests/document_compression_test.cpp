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

// Guards against a document that another daemon puts in force with other bytes.
TEST(document_compression, a_document_comes_back_unchanged) {
    for (const std::string& document : {std::string(), std::string("x"), routes_document(1'120)}) {
        const auto decoded = decompress_document(compress_document(document));
        ASSERT_TRUE(decoded);
        EXPECT_EQ(*decoded, document);
    }
}

// Guards against transfers that fill a slow link: a reader passes the document on to its whole domain.
TEST(document_compression, similar_routes_shrink_to_a_fifth_or_less) {
    const std::string document = routes_document(1'120);
    EXPECT_LT(compress_document(document).size() * 5, document.size());
}

// Guards against memory taken by another daemon's claim.
TEST(document_compression, a_claimed_size_over_the_limit_is_refused) {
    const auto decoded = decompress_document(std::string("\xff\xff\xff\xff", 4));
    ASSERT_FALSE(decoded);
    EXPECT_TRUE(std::holds_alternative<too_large>(decoded.error()));
}

// Guards against a crash or a wrong document by bytes that were cut or changed on the way.
TEST(document_compression, damaged_bytes_are_refused) {
    const std::string bytes = compress_document(routes_document(50));
    for (std::size_t length = 0; length < bytes.size(); length += 7) {
        EXPECT_FALSE(decompress_document(std::string_view(bytes).substr(0, length))) << length;
    }
    std::mt19937 random(7);
    for (int round = 0; round < 500; ++round) {
        std::string damaged = bytes;
        char& byte = damaged[random() % damaged.size()];
        byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1 + random() % 255));
        const auto decoded = decompress_document(damaged);
        EXPECT_TRUE(!decoded || *decoded == routes_document(50)) << round;
    }
}

} // namespace
} // namespace boragehollow::codec
