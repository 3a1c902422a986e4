#include "body_pattern.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstring>
#include <vector>

namespace boragehollow::standin {

body_pattern::body_pattern(std::string_view request_id)
    : m_state(XXH3_64bits(request_id.data(), request_id.size()) | 1U) {}

void body_pattern::fill(std::span<char> out) {
    // The generator produces 8 bytes per step and drops the rest of a partial step.
    for (std::size_t at = 0; at < out.size(); at += sizeof(m_state)) {
        m_state ^= m_state << 13U;
        m_state ^= m_state >> 7U;
        m_state ^= m_state << 17U;
        std::memcpy(out.data() + at, &m_state, std::min(sizeof(m_state), out.size() - at));
    }
}

body_digest::body_digest() : m_state(XXH3_createState()) {
    XXH3_64bits_reset(m_state.get());
}

void body_digest::add(std::span<const char> bytes) {
    XXH3_64bits_update(m_state.get(), bytes.data(), bytes.size());
    m_size += bytes.size();
}

std::string body_digest::hex() const {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(XXH3_64bits_digest(m_state.get())));
    return text.data();
}

std::string pattern_digest(std::string_view request_id, std::uint64_t size) {
    body_pattern pattern(request_id);
    body_digest digest;
    std::vector<char> block(std::min<std::uint64_t>(size, 65'536));
    while (digest.size() < size) {
        const std::span<char> piece(block.data(),
                                    std::min<std::uint64_t>(block.size(), size - digest.size()));
        pattern.fill(piece);
        digest.add(piece);
    }
    return digest.hex();
}

} // namespace boragehollow::standin
