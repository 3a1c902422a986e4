#include "boragehollow/common/random_source.hpp"

#include <array>

namespace boragehollow::common {

random_source random_source::from_system() {
    std::random_device device;
    const std::uint64_t high = device();
    return random_source((high << 32U) ^ device());
}

std::size_t random_source::index(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_engine);
}

double random_source::fraction() {
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine);
}

std::chrono::microseconds random_source::jitter(std::chrono::microseconds span) {
    return std::chrono::microseconds(
        static_cast<std::int64_t>(fraction() * static_cast<double>(span.count())));
}

std::string random_source::identifier() {
    static constexpr std::array digits{'0', '1', '2', '3', '4', '5', '6', '7',
                                       '8', '9', 'a', 'b', 'c', 'd', 'e', 'f'};
    std::string text;
    text.reserve(32);
    for (int half = 0; half < 2; ++half) {
        std::uint64_t bits = m_engine();
        for (int digit = 0; digit < 16; ++digit) {
            text.push_back(digits[bits & 0xfU]);
            bits >>= 4U;
        }
    }
    return text;
}

} // namespace boragehollow::common
