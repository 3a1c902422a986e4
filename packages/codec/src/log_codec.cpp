#include "boragehollow/codec/log_codec.hpp"

#include "boragehollow/codec/json_reader.hpp"

#include "log.pb.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

namespace boragehollow::codec {

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
        return tl::unexpected(std::string("the response of the log service is not a ReadReply message"));
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
    const auto reply = parse_bounded_json(bytes);
    if (!reply) {
        return tl::unexpected("the response of the log service: " + to_string(reply.error()));
    }
    const auto found = reply->is_object() ? reply->find("offset") : reply->end();
    if (found == reply->end() || !found->is_number_unsigned() || *found == 0U) {
        return tl::unexpected(std::string("the response of the log service has no valid offset"));
    }
    return revision{found->get<std::uint64_t>()};
}

} // namespace boragehollow::codec
