#include "boragehollow/streams/snapshot_stream.hpp"

#include <algorithm>
#include <limits>

namespace boragehollow::streams {

namespace {

/// The backward search reads windows of records that double in size up to this limit.
constexpr std::uint64_t max_window_records = 64;

/// Reads the records in [from, end), page by page, and returns the newest state that they complete.
tl::expected<codec::snapshot_pointer, log_error>
read_range(const log_client& client, const std::string& stream, revision from, revision end,
           codec::snapshot_assembler& assembler, milliseconds timeout) {
    codec::snapshot_pointer newest;
    while (from < end) {
        const auto page = read(client, {stream, from, end.value - from.value, milliseconds(0)}, timeout);
        if (!page) {
            return tl::unexpected(page.error());
        }
        if (page->records.empty()) {
            break;
        }
        for (const auto& record : page->records) {
            // A corrupt chunk makes only its own state incomplete, so the others are still read.
            if (auto completed = assembler.add(*record.bytes); completed && *completed) {
                newest = std::move(*completed);
            }
        }
        from = page->records.back().offset.next();
    }
    return newest;
}

} // namespace

tl::expected<codec::snapshot_pointer, log_error>
read_newest_snapshot(const log_client& client, const std::string& stream, milliseconds timeout) {
    // A read past the end returns no records, only the stream's range of offsets.
    const revision past_end{std::numeric_limits<std::int64_t>::max()};
    const auto bounds = read(client, {stream, past_end, 1, milliseconds(0)}, timeout);
    if (!bounds) {
        return tl::unexpected(bounds.error());
    }
    const revision first = bounds->first_retained;
    codec::snapshot_assembler assembler;
    revision read_from = bounds->next_offset;
    std::uint64_t window = 1;
    while (read_from > first) {
        const revision start{std::max(first.value, read_from.value - std::min(window, read_from.value))};
        auto found = read_range(client, stream, start, read_from, assembler, timeout);
        if (!found || *found) {
            return found;
        }
        read_from = start;
        window = std::min(window * 2, max_window_records);
    }
    return codec::snapshot_pointer();
}

tl::expected<void, log_error> append_snapshot(const log_client& client, const std::string& stream,
                                              const config::config_snapshot& state, milliseconds timeout) {
    for (const std::string& chunk : codec::split_state(state)) {
        const auto offset = append(client, stream, chunk, timeout);
        if (!offset) {
            return tl::unexpected(offset.error());
        }
    }
    return {};
}

} // namespace boragehollow::streams
