#include "boragehollow/codec/member_codec.hpp"

#include "boragehollow/common/overloaded.hpp"

#include <peer.pb.h>

#include <chrono>
#include <limits>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace boragehollow::codec {

namespace {

using membership::member;
using membership::member_ref;
using membership::member_state;
using membership::target_state;

// Maximum length of a DNS name. The size budget of a datagram assumes much shorter names.
constexpr std::size_t max_name_bytes = 253;

// Twice what a daemon keeps for a host: as recorded and in the host's entry.
constexpr std::size_t max_withdrawn_instances = 16;

// Bounds the arithmetic with a received age. A configuration that was confirmed so long ago counts as never
// confirmed.
constexpr std::chrono::milliseconds max_log_read_age = std::chrono::hours(1);

peer::v1::MemberState to_message(member_state state) {
    switch (state) {
    case member_state::suspect:
        return peer::v1::MEMBER_STATE_SUSPECT;
    case member_state::dead:
        return peer::v1::MEMBER_STATE_DEAD;
    case member_state::left:
        return peer::v1::MEMBER_STATE_LEFT;
    case member_state::alive:
        break;
    }
    return peer::v1::MEMBER_STATE_ALIVE;
}

peer::v1::TargetState to_message(target_state state) {
    switch (state) {
    case target_state::starting:
        return peer::v1::TARGET_STATE_STARTING;
    case target_state::ready:
        return peer::v1::TARGET_STATE_READY;
    case target_state::draining:
        return peer::v1::TARGET_STATE_DRAINING;
    case target_state::gone:
        return peer::v1::TARGET_STATE_GONE;
    case target_state::none:
        break;
    }
    return peer::v1::TARGET_STATE_NONE;
}

std::optional<member_state> state_of(peer::v1::MemberState state) {
    switch (state) {
    case peer::v1::MEMBER_STATE_ALIVE:
        return member_state::alive;
    case peer::v1::MEMBER_STATE_SUSPECT:
        return member_state::suspect;
    case peer::v1::MEMBER_STATE_DEAD:
        return member_state::dead;
    case peer::v1::MEMBER_STATE_LEFT:
        return member_state::left;
    default:
        return std::nullopt;
    }
}

std::optional<target_state> state_of(peer::v1::TargetState state) {
    switch (state) {
    case peer::v1::TARGET_STATE_NONE:
        return target_state::none;
    case peer::v1::TARGET_STATE_STARTING:
        return target_state::starting;
    case peer::v1::TARGET_STATE_READY:
        return target_state::ready;
    case peer::v1::TARGET_STATE_DRAINING:
        return target_state::draining;
    case peer::v1::TARGET_STATE_GONE:
        return target_state::gone;
    default:
        return std::nullopt;
    }
}

void write_endpoint(const common::endpoint& value, peer::v1::Endpoint& message) {
    message.set_address(value.address);
    message.set_port(value.port);
}

std::optional<common::endpoint> read_endpoint(const peer::v1::Endpoint& message) {
    if (message.address().empty() || message.port() > std::numeric_limits<std::uint16_t>::max()) {
        return std::nullopt;
    }
    return common::endpoint{message.address(), static_cast<std::uint16_t>(message.port())};
}

template <class Messages>
void write_withdrawn(const std::vector<common::withdrawn_instance>& withdrawn, Messages& messages) {
    for (const common::withdrawn_instance& each : withdrawn) {
        peer::v1::WithdrawnInstance& message = *messages.Add();
        message.set_id(each.id);
        message.set_incarnation(each.incarnation);
        message.set_incarnation_unknown(each.incarnation_unknown);
        message.set_ended(each.ended);
    }
}

/// The rest of the message holds if there are more than any daemon sends.
template <class Messages>
std::vector<common::withdrawn_instance> read_withdrawn(const Messages& messages) {
    std::vector<common::withdrawn_instance> withdrawn;
    for (const peer::v1::WithdrawnInstance& message : messages) {
        if (withdrawn.size() == max_withdrawn_instances) {
            break;
        }
        withdrawn.push_back(
            {message.id(), message.incarnation(), message.incarnation_unknown(), message.ended()});
    }
    return withdrawn;
}

void write_member(const member& value, peer::v1::Member& message) {
    message.set_host(value.host);
    message.set_failure_domain(value.failure_domain);
    write_endpoint(value.gossip, *message.mutable_gossip());
    write_endpoint(value.peer, *message.mutable_peer());
    message.set_incarnation(value.incarnation);
    message.set_state(to_message(value.state));
    message.set_target_sequence(value.target_sequence);
    message.set_link_megabits(value.link_megabits);
    write_withdrawn(value.withdrawn, *message.mutable_withdrawn());
    if (value.target == membership::target_announcement{}) {
        return;
    }
    peer::v1::Target& target = *message.mutable_target();
    target.set_service(value.target.service);
    target.mutable_labels()->insert(value.target.labels.begin(), value.target.labels.end());
    target.set_slots(value.target.slots);
    target.set_state(to_message(value.target.state));
}

bool is_valid_name(const std::string& text) {
    return !text.empty() && text.size() <= max_name_bytes;
}

tl::expected<member, malformed> read_member(const peer::v1::Member& message) {
    if (!is_valid_name(message.host()) || !is_valid_name(message.failure_domain())) {
        return tl::unexpected(malformed{"a member has no valid host or failure domain"});
    }
    const auto gossip = read_endpoint(message.gossip());
    const auto peer = read_endpoint(message.peer());
    if (!gossip || !peer) {
        return tl::unexpected(malformed{"member '" + message.host() + "' has no valid endpoint"});
    }
    const auto state = state_of(message.state());
    const auto target = state_of(message.target().state());
    if (!state || !target) {
        return tl::unexpected(malformed{"member '" + message.host() + "' has an unknown state"});
    }
    member value{message.host(), message.failure_domain(), *gossip, *peer, message.incarnation(), *state};
    value.target.service = message.target().service();
    value.target.labels.insert(message.target().labels().begin(), message.target().labels().end());
    value.target.slots = message.target().slots();
    value.target.state = *target;
    value.target_sequence = message.target_sequence();
    value.link_megabits = message.link_megabits();
    value.withdrawn = read_withdrawn(message.withdrawn());
    return value;
}

template <class Messages>
tl::expected<std::vector<member_ref>, decode_error> read_members(const Messages& messages) {
    std::vector<member_ref> members;
    members.reserve(static_cast<std::size_t>(messages.size()));
    for (const peer::v1::Member& message : messages) {
        auto value = read_member(message);
        if (!value) {
            return tl::unexpected(decode_error(std::move(value.error())));
        }
        members.push_back(std::make_shared<const member>(std::move(*value)));
    }
    return members;
}

void write_log_read(const membership::log_read& value, peer::v1::LogRead& message) {
    message.set_reader(value.reader);
    message.set_process(value.process);
    message.set_sequence(value.sequence);
    message.set_age_ms(static_cast<std::uint64_t>(value.age.count()));
}

/// Returns nothing if the report cannot be used; the rest of the datagram holds.
std::optional<membership::log_read> read_log_read(const peer::v1::LogRead& message) {
    const bool is_absurd = message.age_ms() > static_cast<std::uint64_t>(max_log_read_age.count());
    if (is_absurd || message.reader().size() > max_name_bytes) {
        return std::nullopt;
    }
    return membership::log_read{message.reader(), message.process(), message.sequence(),
                                std::chrono::milliseconds(message.age_ms())};
}

void write_body(const membership::datagram_body& body, peer::v1::Datagram& message) {
    std::visit(common::overloaded{
                   [&](const membership::ping& value) {
                       message.mutable_ping()->set_sequence(value.sequence);
                       message.mutable_ping()->set_applied_version(value.applied.value);
                   },
                   [&](const membership::ack& value) {
                       message.mutable_ack()->set_sequence(value.sequence);
                       message.mutable_ack()->set_applied_version(value.applied.value);
                       message.mutable_ack()->set_probed_host(value.probed_host);
                   },
                   [&](const membership::indirect_ping& value) {
                       message.mutable_ping()->set_sequence(value.sequence);
                       message.mutable_ping()->set_applied_version(value.applied.value);
                       message.mutable_ping()->set_probe_host(value.probe_host);
                   },
                   [&](const membership::progress_report& value) {
                       message.mutable_progress()->set_applied_version(value.applied.value);
                       for (const membership::collected_progress& group : value.collected) {
                           peer::v1::CollectedProgress& added = *message.mutable_progress()->add_collected();
                           added.set_applied_version(group.applied.value);
                           added.mutable_host_hashes()->Add(group.host_hashes.begin(),
                                                            group.host_hashes.end());
                       }
                   },
               },
               body);
}

membership::progress_report read_progress_report(const peer::v1::ProgressReport& message) {
    membership::progress_report report{{message.applied_version()}};
    for (const peer::v1::CollectedProgress& group : message.collected()) {
        report.collected.push_back(
            {{group.applied_version()}, {group.host_hashes().begin(), group.host_hashes().end()}});
    }
    return report;
}

std::optional<membership::datagram_body> read_body(const peer::v1::Datagram& message) {
    switch (message.body_case()) {
    case peer::v1::Datagram::kPing: {
        const peer::v1::Ping& ping = message.ping();
        if (ping.probe_host().empty()) {
            return membership::ping{ping.sequence(), {ping.applied_version()}};
        }
        return membership::indirect_ping{ping.sequence(), {ping.applied_version()}, ping.probe_host()};
    }
    case peer::v1::Datagram::kAck: {
        const peer::v1::Ack& ack = message.ack();
        return membership::ack{ack.sequence(), {ack.applied_version()}, ack.probed_host()};
    }
    case peer::v1::Datagram::kProgress:
        return read_progress_report(message.progress());
    default:
        return std::nullopt;
    }
}

} // namespace

std::string to_string(const datagram_error& error) {
    return std::visit(
        common::overloaded{
            [](const malformed& e) { return to_string(decode_error(e)); },
            [](const too_large& e) { return to_string(decode_error(e)); },
            [](const other_mesh& e) { return "datagram of the mesh '" + e.mesh + "'"; },
            [](const unknown_protocol& e) { return "unknown protocol number " + std::to_string(e.protocol); },
        },
        error);
}

tl::expected<std::string, too_large> encode_datagram(const membership::datagram& value,
                                                     const std::string& mesh, common::hybrid_time sent) {
    peer::v1::Datagram message;
    peer::v1::Header& header = *message.mutable_header();
    header.set_mesh(mesh);
    header.set_protocol(datagram_protocol);
    header.set_from_host(value.from_host);
    header.set_hlc_wall_us(static_cast<std::uint64_t>(sent.wall.time_since_epoch().count()));
    header.set_hlc_counter(sent.counter);
    header.set_log_epoch(value.log_epoch);
    write_body(value.body, message);
    if (value.latest_read) {
        write_log_read(*value.latest_read, *message.mutable_log_read());
    }
    for (const member& entry : value.members) {
        write_member(entry, *message.add_members());
    }
    std::string bytes = message.SerializeAsString();
    if (bytes.size() > membership::max_datagram_bytes) {
        return tl::unexpected(too_large{bytes.size(), membership::max_datagram_bytes});
    }
    return bytes;
}

tl::expected<decoded_datagram, datagram_error> decode_datagram(std::string_view bytes,
                                                               std::string_view mesh) {
    if (bytes.size() > membership::max_datagram_bytes) {
        return tl::unexpected(datagram_error(too_large{bytes.size(), membership::max_datagram_bytes}));
    }
    peer::v1::Datagram message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return tl::unexpected(datagram_error(malformed{"the bytes are not a datagram"}));
    }
    const peer::v1::Header& header = message.header();
    if (header.mesh() != mesh) {
        return tl::unexpected(datagram_error(other_mesh{header.mesh()}));
    }
    if (header.protocol() != datagram_protocol) {
        return tl::unexpected(datagram_error(unknown_protocol{header.protocol()}));
    }
    if (!is_valid_name(header.from_host())) {
        return tl::unexpected(datagram_error(malformed{"the datagram has no valid sender"}));
    }
    auto body = read_body(message);
    if (!body) {
        return tl::unexpected(datagram_error(malformed{"the datagram has no body"}));
    }
    decoded_datagram decoded;
    decoded.value.from_host = header.from_host();
    decoded.value.body = std::move(*body);
    decoded.value.log_epoch = header.log_epoch();
    if (message.has_log_read()) {
        decoded.value.latest_read = read_log_read(message.log_read());
    }
    for (const peer::v1::Member& entry : message.members()) {
        auto value = read_member(entry);
        if (!value) {
            return tl::unexpected(datagram_error(std::move(value.error())));
        }
        decoded.value.members.push_back(std::move(*value));
    }
    decoded.sent = {common::wall_time(std::chrono::microseconds(header.hlc_wall_us())), header.hlc_counter()};
    return decoded;
}

void write_sync_request(const membership::sync_request& value, peer::v1::SyncRequest& message) {
    message.mutable_bucket_hashes()->Add(value.bucket_hashes.begin(), value.bucket_hashes.end());
    message.mutable_wanted_entries()->Add(value.wanted_entries.begin(), value.wanted_entries.end());
    message.set_whole_table(value.whole_table);
    message.set_withdrawn_of_host(value.withdrawn_of_host);
    for (const member_ref& entry : value.members) {
        write_member(*entry, *message.add_members());
    }
}

tl::expected<membership::sync_request, decode_error> read_sync_request(const peer::v1::SyncRequest& message) {
    const int hashes = message.bucket_hashes_size();
    if (hashes != 0 && hashes != static_cast<int>(membership::bucket_count)) {
        return tl::unexpected(decode_error(malformed{"wrong number of bucket hashes"}));
    }
    auto members = read_members(message.members());
    if (!members) {
        return tl::unexpected(std::move(members.error()));
    }
    return membership::sync_request{{message.bucket_hashes().begin(), message.bucket_hashes().end()},
                                    std::move(*members),
                                    {message.wanted_entries().begin(), message.wanted_entries().end()},
                                    message.whole_table(),
                                    message.withdrawn_of_host()};
}

void write_sync_reply(const membership::sync_reply& value, peer::v1::SyncReply& message) {
    message.mutable_differing_buckets()->Add(value.differing_buckets.begin(), value.differing_buckets.end());
    message.mutable_entry_hashes()->Add(value.entry_hashes.begin(), value.entry_hashes.end());
    write_withdrawn(value.withdrawn, *message.mutable_withdrawn());
    for (const member_ref& entry : value.members) {
        write_member(*entry, *message.add_members());
    }
}

tl::expected<membership::sync_reply, decode_error> read_sync_reply(const peer::v1::SyncReply& message) {
    for (const std::uint32_t bucket : message.differing_buckets()) {
        if (bucket >= membership::bucket_count) {
            return tl::unexpected(decode_error(malformed{"unknown bucket " + std::to_string(bucket)}));
        }
    }
    auto members = read_members(message.members());
    if (!members) {
        return tl::unexpected(std::move(members.error()));
    }
    return membership::sync_reply{{message.differing_buckets().begin(), message.differing_buckets().end()},
                                  {message.entry_hashes().begin(), message.entry_hashes().end()},
                                  std::move(*members),
                                  read_withdrawn(message.withdrawn())};
}

} // namespace boragehollow::codec
