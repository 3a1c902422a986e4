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
    /// The records of one interval are sent in one push.
    milliseconds push_batch_interval{10};
    std::size_t max_push_bytes = 1024 * 1024;

    milliseconds pull_interval{2'000};
    /// Used until this daemon is ready, because callers wait for it.
    milliseconds bootstrap_pull_interval{500};
    /// First pulls are delayed by up to this time, so that daemons which restart together do not pull at
    /// once.
    milliseconds first_pull_jitter{1'000};
    /// Records that overtook each other usually arrive within this time; after it the missing ones are
    /// pulled.
    milliseconds gap_pull_delay{100};
    milliseconds failed_pull_delay{200};
    milliseconds pull_timeout{1'000};
    milliseconds max_pull_timeout{4'000};
    std::size_t max_pull_reply_bytes = 1024 * 1024;
    /// One pull in this many is sent to another failure domain.
    std::size_t other_domain_pull_every = 8;
    std::size_t bootstrap_other_domain_pull_every = 4;
    /// Used by a log reader that cannot reach the platform and therefore depends on the other domains.
    std::size_t disconnected_reader_other_domain_pull_every = 2;

    std::size_t max_retained_records = 1'024;
    std::size_t max_retained_bytes = 4 * 1024 * 1024;

    std::size_t max_snapshot_transfers = 8;
    /// A transfer whose end was not reported stops counting towards `max_snapshot_transfers` after this time:
    /// the peer server does not know when the last byte was sent.
    milliseconds snapshot_transfer_timeout{3'000};
    milliseconds snapshot_retry_delay{500};

    std::chrono::hours floor_retention{24};

    /// A daemon that knows no other member waits this long before it reads the log: it may not have joined
    /// the mesh yet, and otherwise every daemon of a large group that restarts would read from the platform.
    milliseconds isolated_reader_delay{3'000};
    milliseconds platform_snapshot_retry{5'000};

    /// A daemon that did not run for this long was paused, and has to pull before it serves again.
    milliseconds pause_threshold{5'000};
    /// After this many failed pulls a resumed daemon serves the state that it holds, which is not older than
    /// the state that it served before the pause.
    int max_reverify_attempts = 5;

    /// The compactor appends a snapshot when more records than this were applied since the last one, or when
    /// the last one is older than `compaction_age`.
    std::uint64_t compaction_records = 1'000;
    std::chrono::hours compaction_age{1};
    /// A new compactor does not know the last snapshot, and appends one after it has had the role for this
    /// long.
    std::chrono::seconds compactor_settle_time{60};
    milliseconds compaction_retry{30'000};
};

} // namespace boragehollow::spreading
