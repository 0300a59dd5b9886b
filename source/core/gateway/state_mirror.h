#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/clock.h"
#include "core/common/ranked_mutex.h"
#include "core/schema/codec.h"

namespace lycheegap::gateway {

/// One item of the store, or the news that it is gone.
struct mirror_item {
    std::string key;
    std::string value;
    std::uint64_t revision{0};
    std::uint64_t lease{0};
    bool removed{false};
    /// Revision at which it last told something new.
    std::uint64_t news_revision{0};
};

/// Whether a newer item of a key tells nothing new, as the heartbeats of endpoints do.
using heartbeat_test = bool (*)(const mirror_item& known, const mirror_item& newer);

/// Items as the store or another host gave them.
struct mirror_update {
    std::vector<mirror_item> items;
    std::uint64_t revision{0};
    /// Items that are missing are gone.
    bool whole{false};
    /// Moment at which the store confirmed this.
    common::boot_clock::time_point confirmed_at;
    /// Moment at which the store answered again after an outage.
    std::optional<common::time_point> back_at;
};

/// What the store holds, as far as this host knows. Removed items stay as marks, so that others can be told.
struct state_mirror {
    std::map<std::string, mirror_item, std::less<>> items;
    std::uint64_t revision{0};
    /// Last revision that told something new.
    std::uint64_t news_revision{0};
    /// Null: everything is new.
    heartbeat_test is_heartbeat{nullptr};
    /// Removals before this revision may have been missed.
    std::uint64_t removals_known_from{0};
    bool complete{false};
    common::boot_clock::time_point confirmed_at;
    std::optional<common::time_point> back_at;
};

/// Takes an update in and returns what is new to this host, removals included and heartbeats left out.
/// Nothing goes back to an older revision.
std::vector<mirror_item> merge_update(state_mirror& mirror, mirror_update update);

/// What changed after a revision, without heartbeats.
mirror_update changes_after(const state_mirror& mirror, std::uint64_t after);

/// A host that waits for a change.
struct mirror_waiter {
    std::uint64_t after{0};
    common::time_point due;
    std::function<void(schema::bytes)> respond;
};

/// Shared table of the mirror and of those who wait for its changes.
struct mirror_table {
    common::ranked_mutex mutex{common::lock_rank::mirror_table};
    state_mirror mirror;
    std::vector<mirror_waiter> waiters;
};

/// Answers a question at once when there is news, else when there is some or its wait is over.
void ask_mirror(mirror_table& table, std::uint64_t after, common::milliseconds wait,
                std::function<void(schema::bytes)> respond);

/// Merges an update and answers those who waited for it.
std::vector<mirror_item> publish_update(mirror_table& table, mirror_update update);

/// Answers waiters whose time is over.
void expire_waiters(mirror_table& table);

/// Reads an answer to a question that was asked at `asked_at`; empty when it is none.
std::optional<mirror_update>
read_mirror_answer(schema::byte_view message, common::boot_clock::time_point asked_at, std::string_view peer);

} // namespace lycheegap::gateway
