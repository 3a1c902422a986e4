#include "boragehollow/common/truncate.hpp"

namespace boragehollow::common {

std::string truncate_utf8(std::string_view text, std::size_t length) {
    if (text.size() <= length) {
        return std::string(text);
    }
    const auto is_continuation = [](char c) { return (static_cast<unsigned char>(c) & 0xc0U) == 0x80U; };
    while (length > 0 && is_continuation(text[length])) {
        --length;
    }
    return std::string(text.substr(0, length));
}

} // namespace boragehollow::common
