#include "boragehollow/codec/state_codec.hpp"

#include "boragehollow/codec/resource_message.hpp"
#include "boragehollow/common/rendezvous.hpp"
#include "boragehollow/config/names.hpp"

#include <algorithm>

namespace boragehollow::codec {

namespace {

/// Reserved for the fields of a chunk record other than its data.
constexpr std::size_t chunk_overhead_bytes = 64;

/// Limit on incomplete states. A compactor that fails while it writes a state leaves an incomplete one
/// behind; above the limit the one with the lowest version is dropped.
constexpr std::size_t max_partial_states = 4;

tl::unexpected<decode_error> malformed_error(std::string detail) {
    return tl::unexpected<decode_error>(malformed{std::move(detail)});
}

messages::ChangeOutcome to_message(const config::change_outcome& value) {
    messages::ChangeOutcome message;
    message.set_change_id(value.change_id);
    message.set_revision(value.at.value);
    message.set_author(value.author);
    const auto* rejection = std::get_if<config::rejected>(&value.result);
    message.set_accepted(rejection == nullptr);
    if (rejection == nullptr) {
        return message;
    }
    message.set_reason(std::string(config::to_string(rejection->reason)));
    message.set_detail(rejection->detail);
    message.set_field(rejection->field);
    if (rejection->resource) {
        *message.mutable_resource() = codec::to_message(*rejection->resource);
    }
    return message;
}

tl::expected<config::change_outcome, malformed> outcome_from_message(const messages::ChangeOutcome& message) {
    config::change_outcome value{
        message.change_id(), {message.revision()}, message.author(), config::accepted{}};
    if (message.accepted()) {
        return value;
    }
    const auto reason = config::parse_rejection_reason(message.reason());
    if (!reason) {
        return tl::unexpected(malformed{"an outcome has an unknown reason"});
    }
    config::rejected result{*reason, message.detail(), message.field(), {}};
    if (message.has_resource()) {
        auto key = from_message(message.resource());
        if (!key) {
            return tl::unexpected(std::move(key).error());
        }
        result.resource = *std::move(key);
    }
    value.result = std::move(result);
    return value;
}

} // namespace

std::string encode_state(const config::config_snapshot& value) {
    messages::State message;
    message.set_version(value.version.value);
    message.set_digest(value.digest);
    message.set_active_schema(value.active_schema);
    for (const auto& [key, stored] : value.resources) {
        messages::StoredResource* item = message.add_resources();
        *item->mutable_resource() = to_message(stored.value);
        item->set_revision(stored.changed_at.value);
    }
    for (const auto& [at, outcome] : value.outcomes()) {
        *message.add_outcomes() = to_message(outcome);
    }
    return serialize(message);
}

tl::expected<snapshot_pointer, decode_error> decode_state(std::string_view bytes) {
    const std::size_t limit = max_chunk_record_bytes * max_chunk_count;
    if (bytes.size() > limit) {
        return tl::unexpected<decode_error>(too_large{bytes.size(), limit});
    }
    messages::State message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return malformed_error("the bytes are not a configuration state");
    }
    auto value = std::make_shared<config::config_snapshot>();
    value->version = {message.version()};
    value->digest = message.digest();
    value->active_schema = message.active_schema();
    for (const messages::StoredResource& item : message.resources()) {
        auto converted = from_message(item.resource());
        if (!converted) {
            return malformed_error(std::move(converted).error().detail);
        }
        config::resource_key key = config::key_of(*converted);
        if (item.revision() == 0 || item.revision() > message.version() || value->find(key) != nullptr) {
            return malformed_error("the state has a duplicate resource or a resource revision out of range");
        }
        value->resources =
            value->resources.insert(std::move(key), {*std::move(converted), {item.revision()}});
    }
    std::uint64_t previous = 0;
    for (const messages::ChangeOutcome& item : message.outcomes()) {
        auto converted = outcome_from_message(item);
        if (!converted) {
            return malformed_error(std::move(converted).error().detail);
        }
        if (item.revision() <= previous || item.revision() > message.version()) {
            return malformed_error("the outcomes are not in revision order or have a revision out of range");
        }
        previous = item.revision();
        value->add_outcome(*std::move(converted));
    }
    return value;
}

std::vector<std::string> split_state(const config::config_snapshot& value) {
    const std::string bytes = encode_state(value);
    const std::size_t chunk_bytes = max_chunk_record_bytes - chunk_overhead_bytes;
    const std::size_t count = std::max<std::size_t>(1, (bytes.size() + chunk_bytes - 1) / chunk_bytes);
    std::vector<std::string> records;
    records.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        messages::SnapshotChunk chunk;
        chunk.set_version(value.version.value);
        chunk.set_digest(common::stable_hash(bytes));
        chunk.set_index(static_cast<std::uint32_t>(index));
        chunk.set_count(static_cast<std::uint32_t>(count));
        chunk.set_data(bytes.substr(index * chunk_bytes, chunk_bytes));
        records.push_back(serialize(chunk));
    }
    return records;
}

tl::expected<snapshot_pointer, decode_error> snapshot_assembler::add(std::string_view record) {
    if (record.size() > max_chunk_record_bytes) {
        return tl::unexpected<decode_error>(too_large{record.size(), max_chunk_record_bytes});
    }
    messages::SnapshotChunk chunk;
    if (!chunk.ParseFromArray(record.data(), static_cast<int>(record.size()))) {
        return malformed_error("the bytes are not a snapshot chunk");
    }
    if (chunk.count() > max_chunk_count || chunk.index() >= chunk.count()) {
        return malformed_error("the index or count of a snapshot chunk is out of range");
    }
    if (chunk.version() <= m_completed_version) {
        return nullptr;
    }
    const partial_key key{chunk.version(), chunk.digest(), chunk.count()};
    partial_state& state = m_partial[key];
    state.chunks.try_emplace(chunk.index(), std::move(*chunk.mutable_data()));
    if (state.chunks.size() == chunk.count()) {
        const auto completed = m_partial.extract(key);
        return complete(key, completed.mapped());
    }
    if (m_partial.size() > max_partial_states) {
        m_partial.erase(m_partial.begin());
    }
    return nullptr;
}

tl::expected<snapshot_pointer, decode_error> snapshot_assembler::complete(const partial_key& key,
                                                                          const partial_state& state) {
    std::string bytes;
    for (const auto& [index, data] : state.chunks) {
        bytes += data;
    }
    const auto& [version, digest, count] = key;
    if (common::stable_hash(bytes) != digest) {
        return malformed_error("the content hash of the snapshot does not match its chunks");
    }
    auto decoded = decode_state(bytes);
    if (!decoded) {
        return decoded;
    }
    if ((*decoded)->version.value != version) {
        return malformed_error("the version of the snapshot differs from that of its chunks");
    }
    m_completed_version = version;
    std::erase_if(m_partial,
                  [this](const auto& item) { return std::get<0>(item.first) <= m_completed_version; });
    return decoded;
}

} // namespace boragehollow::codec
