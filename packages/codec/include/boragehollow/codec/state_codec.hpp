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

/// Protobuf encoding of complete configuration states, and their chunks in the snapshot stream.
namespace boragehollow::codec {

using snapshot_pointer = std::shared_ptr<const config::config_snapshot>;

/// Limit on the size of one record of the snapshot stream.
inline constexpr std::size_t max_chunk_record_bytes = std::size_t{256} * 1024;

/// Allows 64 MB; the configuration limits allow states of up to about 30 MB.
inline constexpr std::uint32_t max_chunk_count = 256;

/// Deterministic: daemons of the same build encode equal states to equal bytes.
std::string encode_state(const config::config_snapshot& value);

tl::expected<snapshot_pointer, decode_error> decode_state(std::string_view bytes);

/// Splits a state into records for the snapshot stream, each of at most `max_chunk_record_bytes` bytes.
std::vector<std::string> split_state(const config::config_snapshot& value);

/// Reassembles states from the chunks of the snapshot stream. The chunks of several compactors may be
/// interleaved or repeated, and the first or last chunks may be missing.
class snapshot_assembler {
public:
    /// Returns a state if `record` completes it. Returns null if chunks are missing or if the state is not
    /// newer than the last completed one. The assembler stays usable after an error.
    tl::expected<snapshot_pointer, decode_error> add(std::string_view record);

    /// Number of incomplete states.
    std::size_t pending() const { return m_partial.size(); }

private:
    struct partial_state {
        std::map<std::uint32_t, std::string> chunks;
    };

    /// Version, content hash and chunk count. The hash separates different encodings of one version.
    using partial_key = std::tuple<std::uint64_t, std::uint64_t, std::uint32_t>;

    tl::expected<snapshot_pointer, decode_error> complete(const partial_key& key, const partial_state& state);

    std::map<partial_key, partial_state> m_partial;
    std::uint64_t m_completed_version = 0;
};

} // namespace boragehollow::codec
