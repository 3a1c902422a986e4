#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace boragehollow::common {

/// Pseudo-random numbers of one duty; not thread-safe. Tests pass a seed to get the same sequence on every
/// run.
class random_source {
public:
    explicit random_source(std::uint64_t seed) : m_engine(seed) {}

    /// Seeded from the operating system.
    static random_source from_system();

    /// Uniform in [0, bound); `bound` must not be 0.
    std::size_t index(std::size_t bound);

    /// Uniform in [0, 1).
    double fraction();

    /// Uniform in [0, span).
    std::chrono::microseconds jitter(std::chrono::microseconds span);

    /// 128 random bits as 32 hexadecimal digits.
    std::string identifier();

private:
    std::mt19937_64 m_engine;
};

} // namespace boragehollow::common
