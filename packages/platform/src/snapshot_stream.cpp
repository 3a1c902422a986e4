#include "boragehollow/platform/snapshot_stream.hpp"

#include <algorithm>
#include <limits>

namespace boragehollow::platform {

namespace {

constexpr std::size_t chunk_bytes = 256 * 1024;

/// Reads [from, end) in as many pages as the service makes of it.
tl::expected<void, log_error> read_range(const log_client& client, const std::string& stream, revision from,
                                         revision end, codec::snapshot_assembler& assembler,
                                         milliseconds timeout) {
    while (from < end) {
        const auto page = read(client, {stream, from, end.value - from.value, milliseconds(0)}, timeout);
        if (!page) {
            return tl::unexpected(page.error());
        }
        if (page->records.empty()) {
            break;
        }
        for (const auto& record : page->records) {
            assembler.add(*record.bytes);
        }
        from = page->records.back().offset.next();
    }
    return {};
}

} // namespace

tl::expected<std::optional<spreading::encoded_snapshot>, log_error>
read_newest_snapshot(const log_client& client, const std::string& stream, milliseconds timeout) {
    const revision past_the_end{std::numeric_limits<std::int64_t>::max()};
    const auto extent = read(client, {stream, past_the_end, 1, milliseconds(0)}, timeout);
    if (!extent) {
        return tl::unexpected(extent.error());
    }
    const revision first = extent->first_retained;
    codec::snapshot_assembler assembler;
    revision read_from = extent->next_offset;
    std::uint64_t window = 1;
    while (read_from > first) {
        const revision start{std::max(first.value, read_from.value - std::min(window, read_from.value))};
        if (auto done = read_range(client, stream, start, read_from, assembler, timeout); !done) {
            return tl::unexpected(std::move(done.error()));
        }
        if (auto found = assembler.newest()) {
            return found;
        }
        read_from = start;
        window = std::min<std::uint64_t>(window * 2, 64);
    }
    return std::nullopt;
}

tl::expected<void, log_error> append_snapshot(const log_client& client, const std::string& stream,
                                              const spreading::encoded_snapshot& snapshot,
                                              milliseconds timeout) {
    for (const std::string& chunk : codec::encode_snapshot_chunks(snapshot, chunk_bytes)) {
        const auto offset = append(client, stream, chunk, timeout);
        if (!offset) {
            return tl::unexpected(offset.error());
        }
    }
    return {};
}

} // namespace boragehollow::platform
