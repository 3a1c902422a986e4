#pragma once

#include "boragehollow/common/revision.hpp"
#include "boragehollow/spreading/messages.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Messages of the platform's log service, and the chunks in which snapshots are stored there.
namespace boragehollow::codec {

using common::revision;

/// Result of one read of a stream.
struct log_page {
    revision first_retained{1};
    revision next_offset{1};
    std::vector<spreading::log_record> records;
};

std::string encode_log_page(const log_page& page);
tl::expected<log_page, std::string> decode_log_page(std::string_view bytes);

std::string encode_append_reply(revision offset);
tl::expected<revision, std::string> decode_append_reply(std::string_view bytes);

/// Records of the snapshot stream, each with at most `chunk_bytes` of the snapshot.
std::vector<std::string> encode_snapshot_chunks(const spreading::encoded_snapshot& snapshot,
                                                std::size_t chunk_bytes);

/// Joins chunks. Chunks of several snapshots may be mixed, since two compactors can append at once.
class snapshot_assembler {
public:
    /// Ignores a record that is no chunk.
    void add(std::string_view record);

    /// The complete snapshot with the highest version.
    std::optional<spreading::encoded_snapshot> newest() const;

private:
    struct partial {
        std::uint32_t count = 0;
        std::map<std::uint32_t, std::string> chunks;
    };

    std::map<std::pair<revision, std::uint64_t>, partial> m_partials; ///< By version and digest.
};

} // namespace boragehollow::codec
