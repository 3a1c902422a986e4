#pragma once

#include "boragehollow/peer/call_messages.hpp"

#include <peer.pb.h>

namespace boragehollow::peer {

void encode(const call_request_part& part, v1::CallRequest& message);
call_request_part decode(v1::CallRequest&& message);

void encode(const call_reply_part& part, v1::CallReply& message);
call_reply_part decode(v1::CallReply&& message);

} // namespace boragehollow::peer
