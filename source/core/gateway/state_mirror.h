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
#include "core/traffic/store_outage.h"
#include "value_history.h"

namespace lycheegap::gateway {

/// One item of the store, or the tombstone of a removed one.
struct mirror_item {
    std::string key;
    std::string value;
    /// Revision of the store at the last change of the item, heartbeats included; see
    /// `common::make_revision`.
    std::uint64_t revision{0};
    /// Lease that the item goes with; 0 for none.
    std::uint64_t lease{0};
    /// The item is a tombstone. In the mirror it has the last value.
    bool removed{false};
    /// Revision of the last change that was not a heartbeat.
    std::uint64_t change_revision{0};
    /// Among changes: the item was removed because the store came back from an older copy that lacks it.
    bool lost{false};
};

/// Whether a newer item of a key only refreshes the known one, as the heartbeats of endpoints do.
using heartbeat_predicate = bool (*)(const mirror_item& known, const mirror_item& newer);

/// Whether an item of a store that came back from an older copy is older than the known one, which may be a
/// tombstone, or is the known item's removal that must not be taken from the copy.
using outdated_predicate = bool (*)(const mirror_item& known, const mirror_item& restored);

/// Items read from the store or from another host's mirror.
struct mirror_update {
    std::vector<mirror_item> items;
    /// Revision of the store up to which the update includes all changes.
    std::uint64_t revision{0};
    /// The update is a snapshot of all items: items that it does not contain have been removed.
    bool is_snapshot{false};
    /// When the store confirmed this state.
    common::boot_clock::time_point confirmed_at;
    /// When the store became available again after its last outage; empty if there was none.
    std::optional<common::time_point> store_recovered_at;
};

/// This host's replica of the store. Removed items are kept as tombstones, so that removals can be passed on
/// to other hosts.
struct state_mirror {
    std::map<std::string, mirror_item, std::less<>> items;
    /// Latest revision of all updates.
    std::uint64_t revision{0};
    /// Revision of the last change that was not a heartbeat.
    std::uint64_t change_revision{0};
    /// Null treats every newer item as a change.
    heartbeat_predicate is_heartbeat{nullptr};
    /// Null if everything that a restored store has counts.
    outdated_predicate is_outdated{nullptr};
    /// When this mirror last learned that the store had come back from an older copy.
    std::optional<common::time_point> restored_at;
    /// Tombstones of removals before this revision may be missing.
    std::uint64_t removals_complete_from{0};
    /// A snapshot has been merged.
    bool complete{false};
    /// Latest times of all updates.
    common::boot_clock::time_point confirmed_at;
    std::optional<common::time_point> store_recovered_at;
    value_history history;
};

/// Merges an update and returns the items that changed, including removals but not heartbeats. No item goes
/// back to an older revision. What a store that has come back from an older copy says is later than all that
/// it said before, except for items that `is_outdated` recognizes: their known values are kept until the
/// store has later ones.
std::vector<mirror_item> merge_update(state_mirror& mirror, mirror_update update);

/// Items that changed after a revision, without heartbeats. A snapshot when `after` is 0 or older than the
/// tombstones that are kept, provided that the mirror is complete.
mirror_update changes_since(const state_mirror& mirror, std::uint64_t after);

/// The result of `changes_since` without its items.
mirror_update begin_changes(const state_mirror& mirror, std::uint64_t after);

/// Whether an item of the mirror belongs to `changes`, which began with `after`.
bool is_included(const mirror_update& changes, const mirror_item& item, std::uint64_t after);

/// A query of another host.
struct mirror_query {
    /// Revision that the other host has.
    std::uint64_t after{0};
    /// Longest time to wait for a change.
    common::milliseconds wait{0};
    /// No wait once the mirror has not been confirmed for this time; 0 for any age.
    common::milliseconds max_age{0};
    /// The other host reads compressed values.
    bool accepts_compressed{false};
    /// Large values that the other host has.
    std::vector<version_name> held;
    /// Items that are sent if this mirror has a later revision of them, whatever `after` says: after a
    /// restore a host that has just started may know the store's latest revision but not what the others
    /// keep.
    std::vector<version_name> compared;
};

/// Whether the item is one that the query compares, with a later revision.
bool is_later_than_compared(const mirror_item& item, const mirror_query& query);

/// A pending query of another host that waits for a change.
struct mirror_waiter {
    mirror_query query;
    /// The query is answered by then, even without changes.
    common::time_point due;
    std::function<void(schema::bytes)> respond;
};

/// The mirror with the queries that wait for its changes.
struct mirror_table {
    common::ranked_mutex mutex{common::lock_rank::mirror_table};
    state_mirror mirror;
    std::vector<mirror_waiter> waiters;
    /// Other hosts that had no current mirror either.
    traffic::outage_evidence outage;
};

/// Long poll: calls `respond` with the encoded changes after a revision, at once when there are any or the
/// mirror is too old, else at the next change or after the wait.
void query_mirror(mirror_table& table, const mirror_query& query, std::function<void(schema::bytes)> respond);

/// Merges an update, answers the queries that waited for it and returns the items that changed.
std::vector<mirror_item> publish_update(mirror_table& table, mirror_update update);

/// Answers the queries whose wait is over.
void answer_expired_waiters(mirror_table& table);

} // namespace lycheegap::gateway
