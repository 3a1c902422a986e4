#include "boragehollow/codec/change_codec.hpp"

#include "boragehollow/codec/resource_message.hpp"
#include "boragehollow/common/overloaded.hpp"
#include "boragehollow/config/limits.hpp"

#include <optional>

namespace boragehollow::codec {

namespace {

void write_expected_revision(const std::optional<config::revision>& expected, messages::Operation& message) {
    if (expected) {
        message.set_expected_revision(expected->value);
    }
}

messages::Operation to_message(const config::operation& value) {
    messages::Operation message;
    std::visit(common::overloaded{
                   [&message](const config::put_operation& put) {
                       *message.mutable_put() = codec::to_message(put.value);
                       write_expected_revision(put.expected, message);
                   },
                   [&message](const config::delete_operation& removal) {
                       *message.mutable_remove() = codec::to_message(removal.key);
                       write_expected_revision(removal.expected, message);
                   },
                   [&message](const config::activate_schema_operation& activation) {
                       message.set_activate_schema(activation.schema);
                   },
               },
               value);
    return message;
}

std::optional<config::revision> read_expected_revision(const messages::Operation& message) {
    if (!message.has_expected_revision()) {
        return std::nullopt;
    }
    return config::revision{message.expected_revision()};
}

tl::expected<config::operation, malformed> from_operation(const messages::Operation& message) {
    switch (message.action_case()) {
    case messages::Operation::kPut:
        return from_message(message.put()).map([&message](config::resource value) -> config::operation {
            return config::put_operation{std::move(value), read_expected_revision(message)};
        });
    case messages::Operation::kRemove:
        return from_message(message.remove()).map([&message](config::resource_key key) -> config::operation {
            return config::delete_operation{std::move(key), read_expected_revision(message)};
        });
    case messages::Operation::kActivateSchema:
        return config::activate_schema_operation{message.activate_schema()};
    case messages::Operation::ACTION_NOT_SET:
        break;
    }
    return tl::unexpected(malformed{"an operation has no action"});
}

} // namespace

tl::expected<std::string, too_large> encode_change(const config::change& value) {
    messages::Change message;
    message.set_change_id(value.change_id);
    message.set_author(value.author);
    message.set_schema(value.schema);
    for (const config::operation& operation : value.operations) {
        *message.add_operations() = to_message(operation);
    }
    std::string bytes = serialize(message);
    if (bytes.size() > config::max_encoded_change) {
        return tl::unexpected(too_large{bytes.size(), config::max_encoded_change});
    }
    return bytes;
}

tl::expected<config::change, decode_error> decode_change(std::string_view bytes,
                                                         std::uint32_t active_schema) {
    if (bytes.size() > config::max_encoded_change) {
        return tl::unexpected<decode_error>(too_large{bytes.size(), config::max_encoded_change});
    }
    messages::Change message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return tl::unexpected<decode_error>(malformed{"the bytes are not a change record"});
    }
    config::change value{message.change_id(), message.author(), message.schema(), {}};
    if (value.schema != active_schema) {
        return value;
    }
    for (const messages::Operation& operation : message.operations()) {
        auto converted = from_operation(operation);
        if (!converted) {
            return tl::unexpected<decode_error>(std::move(converted).error());
        }
        value.operations.push_back(*std::move(converted));
    }
    return value;
}

} // namespace boragehollow::codec
