#include "boragehollow/codec/spreading_codec.hpp"

#include "boragehollow/common/overloaded.hpp"
#include "peer.pb.h"

#include <algorithm>
#include <memory>

namespace boragehollow::codec {

namespace {

using records_field = google::protobuf::RepeatedPtrField<peer::v1::LogRecord>;

void write_records(const std::vector<spreading::log_record>& records, records_field& field) {
    for (const spreading::log_record& record : records) {
        peer::v1::LogRecord* added = field.Add();
        added->set_offset(record.offset.value);
        added->set_data(*record.bytes);
    }
}

tl::expected<std::vector<spreading::log_record>, std::string> read_records(const records_field& field) {
    std::vector<spreading::log_record> records;
    records.reserve(static_cast<std::size_t>(field.size()));
    for (const peer::v1::LogRecord& record : field) {
        if (record.offset() == 0) {
            return tl::unexpected(std::string("a record has no offset"));
        }
        records.push_back(
            {common::revision{record.offset()}, std::make_shared<const std::string>(record.data())});
    }
    return records;
}

/// Clamps the delay: a value near the clock's range would overflow into the past when added to the current
/// time.
std::chrono::milliseconds read_retry_delay(std::uint64_t milliseconds) {
    constexpr std::chrono::milliseconds max_delay = std::chrono::hours{1};
    return std::chrono::milliseconds(
        std::min<std::uint64_t>(milliseconds, static_cast<std::uint64_t>(max_delay.count())));
}

} // namespace

void write_push_request(const std::vector<spreading::log_record>& records, peer::v1::PushRequest& message) {
    write_records(records, *message.mutable_records());
}

tl::expected<std::vector<spreading::log_record>, std::string>
read_push_request(const peer::v1::PushRequest& message) {
    return read_records(message.records());
}

void write_pull_request(const spreading::pull_request& request, peer::v1::PullRequest& message) {
    message.mutable_header()->set_from_host(request.from_host);
    message.set_version(request.version.value);
    message.set_digest(request.digest);
    message.set_floor_of_host(request.floor_of_host);
}

spreading::pull_request read_pull_request(const peer::v1::PullRequest& message) {
    return {message.header().from_host(), common::revision{message.version()}, message.digest(),
            message.floor_of_host()};
}

void write_pull_reply(const spreading::pull_reply& reply, peer::v1::PullReply& message) {
    message.set_responder_version(reply.responder_version.value);
    message.set_responder_digest(reply.responder_digest);
    message.set_responder_ready(reply.responder_ready);
    message.set_floor(reply.floor.value);
    const auto write_body = common::overloaded{
        [](const spreading::nothing_newer&) {},
        [&](const spreading::newer_records& newer) {
            write_records(newer.records, *message.mutable_records());
        },
        [&](const spreading::encoded_snapshot& snapshot) {
            message.set_snapshot(*snapshot.bytes);
            message.set_snapshot_version(snapshot.version.value);
        },
        [&](const spreading::retry_later& later) {
            message.set_retry_after_ms(static_cast<std::uint64_t>(later.delay.count()));
        },
    };
    std::visit(write_body, reply.body);
}

tl::expected<spreading::pull_reply, std::string> read_pull_reply(const peer::v1::PullReply& message) {
    spreading::pull_reply reply;
    reply.responder_version = common::revision{message.responder_version()};
    reply.responder_digest = message.responder_digest();
    reply.responder_ready = message.responder_ready();
    reply.floor = common::revision{message.floor()};
    if (message.snapshot_version() != 0) {
        // The message has no digest for the snapshot itself, so the digest is known only if the snapshot is
        // the responder's current state.
        const bool is_responder_state = message.snapshot_version() == message.responder_version();
        reply.body = spreading::encoded_snapshot{common::revision{message.snapshot_version()},
                                                 is_responder_state ? message.responder_digest() : 0,
                                                 std::make_shared<const std::string>(message.snapshot())};
        return reply;
    }
    if (message.retry_after_ms() != 0) {
        reply.body = spreading::retry_later{read_retry_delay(message.retry_after_ms())};
        return reply;
    }
    if (message.records_size() == 0) {
        return reply;
    }
    auto records = read_records(message.records());
    if (!records) {
        return tl::unexpected(std::move(records.error()));
    }
    reply.body = spreading::newer_records{std::move(*records)};
    return reply;
}

} // namespace boragehollow::codec
