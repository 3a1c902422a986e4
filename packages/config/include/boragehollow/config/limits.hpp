#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Bounds of the configuration. All daemons must agree on them, since they decide verdicts: a change of one
/// of these values needs a new schema number.
namespace boragehollow::config {

inline constexpr std::size_t max_operations = 100;

/// Size of an encoded change record; a larger record gets the verdict `oversized`.
inline constexpr std::size_t max_encoded_change = std::size_t{256} * 1024;

/// 500 services with up to 20 resources each.
inline constexpr std::size_t max_resources = 10'000;

/// Change ids that are remembered with their verdicts.
inline constexpr std::size_t max_outcomes = 4'096;

/// Bounds the memory of the remembered outcomes to a few megabytes.
inline constexpr std::size_t max_detail_length = 256;

inline constexpr std::size_t max_identifier_length = 128;
inline constexpr std::size_t max_name_length = 63;
inline constexpr std::size_t max_host_length = 253;
inline constexpr std::size_t max_path_length = 1'024;
inline constexpr std::size_t max_methods = 16;
inline constexpr std::size_t max_backends = 64;        ///< Parts of a split route.
inline constexpr std::uint32_t max_weight = 1'000'000; ///< Of one part.
inline constexpr std::uint32_t max_attempts = 10;      ///< Targets that one call may be sent to.
inline constexpr std::uint32_t max_priority = 1'000;   ///< Least urgent rank.
inline constexpr std::size_t max_method_length = 32;
inline constexpr std::size_t max_labels = 16;
inline constexpr std::size_t max_label_value_length = 128;

/// The tables of begun calls keep their ids for this long by default, so no deadline may be longer.
inline constexpr std::chrono::milliseconds max_deadline{600'000};

/// Newest schema that this build can apply.
inline constexpr std::uint32_t newest_known_schema = 1;

} // namespace boragehollow::config
