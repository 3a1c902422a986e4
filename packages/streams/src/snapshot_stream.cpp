#include "boragehollow/streams/snapshot_stream.hpp"

#include <algorithm>
#include <limits>

namespace boragehollow::streams {

namespace {

constexpr std::uint64_t largest_window = 64;

/// Reads [from, end) in as many pages as the service makes of it, and returns the newest state completed.
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
            // A damaged chunk leaves its own state incomplete; another state may still be whole.
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
        auto found = read_range(client, stream, start, read_from, assembler, timeout);
        if (!found || *found) {
            return found;
        }
        read_from = start;
        window = std::min(window * 2, largest_window);
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
