#pragma once

#include "boragehollow/common/revision.hpp"
#include "boragehollow/spreading/messages.hpp"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

/// Message formats of the platform's log service.
namespace boragehollow::codec {

using common::revision;

/// Records returned by one read of a stream, and the stream's range of offsets.
struct log_page {
    revision first_retained{1};
    revision next_offset{1};
    std::vector<spreading::log_record> records;
};

std::string encode_log_page(const log_page& page);
tl::expected<log_page, std::string> decode_log_page(std::string_view bytes);

std::string encode_append_reply(revision offset);
tl::expected<revision, std::string> decode_append_reply(std::string_view bytes);

} // namespace boragehollow::codec
