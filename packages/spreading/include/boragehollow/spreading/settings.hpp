#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace boragehollow::spreading {

using std::chrono::milliseconds;

struct spreading_settings {
    std::string host;

    std::size_t fan_out = 4;
    /// Bursts of records leave in one push for each interval.
    milliseconds push_batch_interval{10};
    std::size_t max_push_bytes = 1024 * 1024;

    milliseconds pull_interval{2'000};
    /// Until this daemon is ready it has nothing else to do, and callers wait for it.
    milliseconds bootstrap_pull_interval{500};
    /// First pulls are spread over this span, so that a group of returning daemons does not ask at once.
    milliseconds first_pull_jitter{1'000};
    /// Records that crossed in flight usually arrive within this time; after it the gap is pulled.
    milliseconds gap_pull_delay{100};
    milliseconds failed_pull_delay{200};
    milliseconds pull_timeout{1'000};
    milliseconds max_pull_timeout{4'000};
    std::size_t max_pull_reply_bytes = 1024 * 1024;
    /// One pull in this many goes to another failure domain.
    std::size_t other_domain_pull_every = 8;
    std::size_t bootstrap_other_domain_pull_every = 4;
    /// A log reader that cannot reach the platform relies on the other domains.
    std::size_t cut_off_reader_other_domain_pull_every = 2;

    std::size_t retained_records = 1'024;
    std::size_t retained_bytes = 4 * 1024 * 1024;

    std::size_t max_snapshot_transfers = 8;
    /// Frees the place of a transfer whose end was not reported: the peer server does not see when the last
    /// byte has left.
    milliseconds snapshot_transfer_timeout{3'000};
    milliseconds snapshot_retry_delay{500};

    std::chrono::hours floor_retention{24};

    /// A daemon that knows no other member waits this long before it reads the log: membership may still be
    /// joining, and each of a large group of returning daemons would read from the platform.
    milliseconds isolated_reader_delay{3'000};
    milliseconds platform_snapshot_retry{5'000};

    /// A daemon that did not run for this long has been paused and has to pull before it serves again.
    milliseconds pause_threshold{5'000};
    /// A resumed daemon that reaches nobody serves the state it holds, which is no older than before.
    int reverify_attempts = 5;

    std::uint64_t compaction_records = 1'000;
    std::chrono::hours compaction_age{1};
    /// A new compactor does not know the last snapshot; it appends one when it has held the role this long.
    std::chrono::seconds compactor_settle_time{60};
    milliseconds compaction_retry{30'000};
};

} // namespace boragehollow::spreading
