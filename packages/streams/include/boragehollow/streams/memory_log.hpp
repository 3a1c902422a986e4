#pragma once

#include "boragehollow/codec/log_codec.hpp"
#include "boragehollow/common/time.hpp"
#include "boragehollow/streams/log_error.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace boragehollow::streams {

using codec::log_page;
using common::revision;
using common::steady_time;
using std::chrono::milliseconds;

/// Parameters of one read of a stream.
struct read_request {
    std::string stream;
    revision from{1};
    std::size_t max_records = 1'024;
    milliseconds wait{0}; ///< Long poll: how long the service waits for a record.
};

struct memory_log_settings {
    std::size_t retained_records = 0;   ///< 0: no limit.
    milliseconds retained_time{0};      ///< 0: no limit.
    std::size_t appends_per_second = 0; ///< 0: no limit.
};

struct memory_log_switches {
    bool outage = false;
    milliseconds slow{0};           ///< Delay added to each request.
    std::uint32_t lose_answers = 0; ///< Number of appends to execute without a response.
};

struct log_counters {
    std::uint64_t reads = 0;
    std::uint64_t appends = 0;
    std::uint64_t refused = 0;
    std::uint64_t bytes_read = 0;
    std::uint64_t bytes_appended = 0;
};

struct all_log_counters {
    std::map<std::string, log_counters> by_stream;
    std::map<std::string, log_counters> by_client;
};

/// In-memory implementation of the platform's log service, for tests and the stand-in. Thread-safe.
class memory_log {
public:
    explicit memory_log(memory_log_settings settings = {}) : m_settings(settings) {}

    /// Of the errors, only `response_lost` means that the record was appended.
    tl::expected<revision, log_error> append(const std::string& stream, std::string record,
                                             const std::string& client, milliseconds timeout);

    tl::expected<log_page, log_error> read(const read_request& request, const std::string& client,
                                           milliseconds timeout);

    void set_switches(memory_log_switches switches);
    memory_log_switches switches() const;
    all_log_counters counters() const;

    /// Deletes the records before `first` as if they had expired.
    void expire_before(const std::string& stream, revision first);

    /// Ends all waiting requests and refuses later ones.
    void close();

private:
    struct stored_record {
        spreading::encoded_bytes bytes;
        steady_time appended;
    };
    struct stream_state {
        revision first{1};
        std::deque<stored_record> records;
        revision next_offset() const { return {first.value + records.size()}; }
    };

    bool apply_delay(std::unique_lock<std::mutex>& lock, milliseconds timeout);
    bool try_acquire_append_permit(steady_time now);
    void drop_expired(stream_state& state, steady_time now) const;
    static log_page make_page(const stream_state& state, const read_request& request);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    memory_log_settings m_settings;
    memory_log_switches m_switches;
    std::map<std::string, stream_state> m_streams;
    all_log_counters m_counters;
    std::deque<steady_time> m_recent_appends;
    bool m_closed = false;
};

} // namespace boragehollow::streams
