#pragma once

#include "boragehollow/spreading/messages.hpp"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace boragehollow::peer::v1 {
class PushRequest;
class PullRequest;
class PullReply;
} // namespace boragehollow::peer::v1

/// Conversion between the dissemination engine's types and the protobuf messages between daemons. The sender
/// fills in the header of a request, except for `from_host`, which is part of the pull request.
namespace boragehollow::codec {

void write_push_request(const std::vector<spreading::log_record>& records, peer::v1::PushRequest& message);
tl::expected<std::vector<spreading::log_record>, std::string>
read_push_request(const peer::v1::PushRequest& message);

void write_pull_request(const spreading::pull_request& request, peer::v1::PullRequest& message);
spreading::pull_request read_pull_request(const peer::v1::PullRequest& message);

/// A snapshot in the reply must have its bytes attached.
void write_pull_reply(const spreading::pull_reply& reply, peer::v1::PullReply& message);
tl::expected<spreading::pull_reply, std::string> read_pull_reply(const peer::v1::PullReply& message);

} // namespace boragehollow::codec
