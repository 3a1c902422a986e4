#pragma once

#include <xxhash.h>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace boragehollow::standin {

/// Generates body bytes that depend on the request id, so that a body delivered to the wrong request is
/// detected.
class body_pattern {
public:
    explicit body_pattern(std::string_view request_id);

    /// Writes the next bytes of the pattern. Every span but the last must have a multiple of 8 bytes.
    void fill(std::span<char> out);

private:
    std::uint64_t m_state;
};

/// Incremental digest of a body.
class body_digest {
public:
    body_digest();

    void add(std::span<const char> bytes);
    std::string hex() const;
    std::uint64_t size() const { return m_size; }

private:
    struct free_state {
        void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
    };

    std::unique_ptr<XXH3_state_t, free_state> m_state;
    std::uint64_t m_size = 0;
};

/// Returns the digest of the first `size` bytes of the pattern of `request_id`.
std::string pattern_digest(std::string_view request_id, std::uint64_t size);

} // namespace boragehollow::standin
