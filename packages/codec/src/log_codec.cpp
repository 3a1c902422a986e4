#include "boragehollow/codec/log_codec.hpp"

#include "config.pb.h"
#include "log.pb.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>

namespace boragehollow::codec {

namespace {

/// Far more chunks than any snapshot has; a larger count is a damaged record.
constexpr std::uint32_t max_chunks = 4'096;

std::optional<boragehollow::config::v1::SnapshotChunk> parse_chunk(std::string_view record) {
    boragehollow::config::v1::SnapshotChunk chunk;
    const bool parsed = chunk.ParseFromArray(record.data(), static_cast<int>(record.size()));
    if (!parsed || chunk.version() == 0 || chunk.count() == 0 || chunk.count() > max_chunks ||
        chunk.index() >= chunk.count()) {
        return std::nullopt;
    }
    return chunk;
}

} // namespace

std::string encode_log_page(const log_page& page) {
    boragehollow::log::v1::ReadReply reply;
    reply.set_first_retained(page.first_retained.value);
    reply.set_next_offset(page.next_offset.value);
    for (const spreading::log_record& record : page.records) {
        auto* added = reply.add_records();
        added->set_offset(record.offset.value);
        added->set_data(*record.bytes);
    }
    return reply.SerializeAsString();
}

tl::expected<log_page, std::string> decode_log_page(std::string_view bytes) {
    boragehollow::log::v1::ReadReply reply;
    if (!reply.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return tl::unexpected(std::string("the answer of the log service is not a ReadReply"));
    }
    log_page page{revision{reply.first_retained()}, revision{reply.next_offset()}, {}};
    page.records.reserve(static_cast<std::size_t>(reply.records_size()));
    revision previous;
    for (auto& record : *reply.mutable_records()) {
        const revision offset{record.offset()};
        if (offset <= previous || offset >= page.next_offset) {
            return tl::unexpected("record offset " + std::to_string(offset.value) + " is out of order");
        }
        previous = offset;
        page.records.push_back(
            {offset, std::make_shared<const std::string>(std::move(*record.mutable_data()))});
    }
    return page;
}

std::string encode_append_reply(revision offset) {
    return nlohmann::json{{"offset", offset.value}}.dump();
}

tl::expected<revision, std::string> decode_append_reply(std::string_view bytes) {
    const auto reply = nlohmann::json::parse(bytes, nullptr, false);
    const auto found = reply.is_object() ? reply.find("offset") : reply.end();
    if (found == reply.end() || !found->is_number_unsigned() || *found == 0U) {
        return tl::unexpected(std::string("the answer of the log service has no offset"));
    }
    return revision{found->get<std::uint64_t>()};
}

std::vector<std::string> encode_snapshot_chunks(const spreading::encoded_snapshot& snapshot,
                                                std::size_t chunk_bytes) {
    const std::string& bytes = *snapshot.bytes;
    const std::size_t count = std::max<std::size_t>(1, (bytes.size() + chunk_bytes - 1) / chunk_bytes);
    std::vector<std::string> records;
    records.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        boragehollow::config::v1::SnapshotChunk chunk;
        chunk.set_version(snapshot.version.value);
        chunk.set_digest(snapshot.digest);
        chunk.set_index(static_cast<std::uint32_t>(index));
        chunk.set_count(static_cast<std::uint32_t>(count));
        chunk.set_data(bytes.substr(index * chunk_bytes, chunk_bytes));
        records.push_back(chunk.SerializeAsString());
    }
    return records;
}

void snapshot_assembler::add(std::string_view record) {
    auto chunk = parse_chunk(record);
    if (!chunk) {
        return;
    }
    partial& joined = m_partials[{revision{chunk->version()}, chunk->digest()}];
    if (joined.count != 0 && joined.count != chunk->count()) {
        return;
    }
    joined.count = chunk->count();
    joined.chunks.emplace(chunk->index(), std::move(*chunk->mutable_data()));
}

std::optional<spreading::encoded_snapshot> snapshot_assembler::newest() const {
    for (auto item = m_partials.rbegin(); item != m_partials.rend(); ++item) {
        const auto& [key, joined] = *item;
        if (joined.chunks.size() != joined.count) {
            continue;
        }
        std::string bytes;
        for (const auto& [index, data] : joined.chunks) {
            bytes += data;
        }
        return spreading::encoded_snapshot{key.first, key.second,
                                           std::make_shared<const std::string>(std::move(bytes))};
    }
    return std::nullopt;
}

} // namespace boragehollow::codec
