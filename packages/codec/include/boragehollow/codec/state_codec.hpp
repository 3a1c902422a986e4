#pragma once

#include "boragehollow/codec/decode_error.hpp"
#include "boragehollow/config/config_snapshot.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

/// Whole configuration states as protobuf bytes, and in chunks for the snapshot stream.
namespace boragehollow::codec {

using snapshot_pointer = std::shared_ptr<const config::config_snapshot>;

/// Largest record of the snapshot stream.
inline constexpr std::size_t max_chunk_record = std::size_t{256} * 1024;

/// Far above the largest state that the configuration limits admit (about 30 MB).
inline constexpr std::uint32_t max_chunk_count = 256;

/// Equal states give equal bytes on every daemon of one build.
std::string encode_state(const config::config_snapshot& value);

tl::expected<snapshot_pointer, decode_error> decode_state(std::string_view bytes);

/// Records for the snapshot stream, each of at most `max_chunk_record` bytes.
std::vector<std::string> split_state(const config::config_snapshot& value);

/// Puts the states of the snapshot stream together again. Chunks of several compactors may be interleaved,
/// repeated, or missing at the beginning or the end.
class snapshot_assembler {
public:
    /// Returns a state when `record` completes it, and null when more chunks are needed or the state is not
    /// newer than one that was completed before. After an error the assembler can go on.
    tl::expected<snapshot_pointer, decode_error> add(std::string_view record);

    /// States that still lack chunks.
    std::size_t pending() const { return m_partial.size(); }

private:
    struct partial_state {
        std::map<std::uint32_t, std::string> chunks;
    };

    /// Version, content hash and number of chunks: two encodings of one version stay apart.
    using partial_key = std::tuple<std::uint64_t, std::uint64_t, std::uint32_t>;

    tl::expected<snapshot_pointer, decode_error> complete(const partial_key& key, const partial_state& state);

    std::map<partial_key, partial_state> m_partial;
    std::uint64_t m_completed_version = 0;
};

} // namespace boragehollow::codec
