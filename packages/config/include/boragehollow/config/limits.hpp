#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Limits of the configuration. Verdicts depend on them, so all daemons must have the same values: to change
/// one of them, introduce a new schema number.
namespace boragehollow::config {

inline constexpr std::size_t max_operations = 100;

/// Size of an encoded change record in bytes; a larger record is rejected as `oversized`.
inline constexpr std::size_t max_encoded_change = std::size_t{256} * 1024;

/// Allows for 500 services with up to 20 resources each.
inline constexpr std::size_t max_resources = 10'000;

/// Number of change ids that are stored with their verdicts.
inline constexpr std::size_t max_outcomes = 4'096;

/// Bytes of the detail and of the field name in a rejection. Limits the memory of the stored outcomes to a
/// few megabytes.
inline constexpr std::size_t max_detail_length = 256;

inline constexpr std::size_t max_identifier_length = 128;
inline constexpr std::size_t max_name_length = 63;
/// Of a name that a platform has chosen. It fits into a member entry and a header between daemons.
inline constexpr std::size_t max_platform_name_length = 128;
inline constexpr std::size_t max_host_length = 253;
inline constexpr std::size_t max_path_length = 1'024;
inline constexpr std::size_t max_methods = 16;
inline constexpr std::size_t max_backends = 64;        ///< Backends of a split route.
inline constexpr std::uint32_t max_weight = 1'000'000; ///< Weight of one backend.
inline constexpr std::uint32_t max_attempts = 10;      ///< Targets that one call may be sent to.
inline constexpr std::uint32_t max_priority = 1'000;   ///< The least urgent priority.
inline constexpr std::size_t max_method_length = 32;
inline constexpr std::size_t max_labels = 16;
inline constexpr std::size_t max_label_value_length = 128;

/// The tables of started calls keep the call ids for this long by default, so no deadline may be longer.
inline constexpr std::chrono::milliseconds max_deadline{600'000};

/// Highest schema number that this build can apply.
inline constexpr std::uint32_t newest_known_schema = 1;

} // namespace boragehollow::config
