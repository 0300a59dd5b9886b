#include "state_mirror.h"

#include <algorithm>
#include <mutex>
#include <set>

#include "core/common/store_revision.h"
#include "mirror_answer.h"

namespace lycheegap::gateway {

namespace {

using common::monotonic;

// Tombstones kept. When there are more, all are dropped, and hosts that are behind get a snapshot.
constexpr std::size_t max_tombstones = 2000;
// Within this time after a restore, a removal is taken for a loss.
constexpr common::milliseconds settling_time{10'000};

/// Whether the two were read from the store before and after it came back from an older copy.
bool is_restored_since(const mirror_item& known, std::uint64_t revision) {
    return common::era_of(known.revision) < common::era_of(revision);
}

/// Whether the store came back from an older copy so lately that what it lacks may still be written again.
bool is_settling(const state_mirror& mirror) {
    return mirror.restored_at && monotonic::now() < *mirror.restored_at + settling_time;
}

/// Whether the known item stays, since the store's one is older and came back with a copy. A kept value stays
/// until the store has a later one; a kept removal only until the store says anything of the key.
bool is_kept_over(const state_mirror& mirror, const mirror_item& known, const mirror_item& item) {
    const bool may_be_outdated =
        is_restored_since(known, item.revision) || (!known.removed && common::is_kept(known.revision));
    return may_be_outdated && mirror.is_outdated != nullptr && mirror.is_outdated(known, item);
}

void keep_known(state_mirror& mirror, mirror_item& known, std::uint64_t revision) {
    known.revision = common::kept_over(revision);
    known.change_revision = known.revision;
    note_version(mirror.history, known.key, known.revision, known.removed ? std::string() : known.value);
    mirror.change_revision = std::max(mirror.change_revision, known.change_revision);
}

/// Whether the item only moves the revision of the known one on.
bool is_refreshed_by(const state_mirror& mirror, const mirror_item& known, const mirror_item& item) {
    if (known.removed || item.removed) {
        return false;
    }
    const bool is_same = known.value == item.value && known.lease == item.lease;
    return (is_same && is_restored_since(known, item.revision)) ||
           (mirror.is_heartbeat != nullptr && mirror.is_heartbeat(known, item));
}

/// Merges one item and appends it to `changes` unless it is older than the known one or a heartbeat.
void apply_item(state_mirror& mirror, mirror_item item, std::vector<mirror_item>& changes) {
    const auto known = mirror.items.find(item.key);
    if (known != mirror.items.end()) {
        if (known->second.revision >= item.revision) {
            return;
        }
        if (is_refreshed_by(mirror, known->second, item)) {
            if (is_restored_since(known->second, item.revision)) {
                note_version(mirror.history, item.key, item.revision, item.value);
            }
            known->second.revision = item.revision;
            if (!item.removed) {
                known->second.value = std::move(item.value);
            }
            return;
        }
        if (is_kept_over(mirror, known->second, item)) {
            keep_known(mirror, known->second, item.revision);
            return;
        }
        if (item.removed) {
            item.value = known->second.value;
            item.lost = is_restored_since(known->second, item.revision) && is_settling(mirror);
        }
    }
    item.change_revision = item.revision;
    note_version(mirror.history, item.key, item.revision, item.removed ? std::string() : item.value);
    mirror.change_revision = std::max(mirror.change_revision, item.revision);
    // Includes the removal of a key unknown to this host, which was added and removed between two reads.
    changes.push_back(item);
    mirror.items[item.key] = std::move(item);
}

/// Replaces items that a snapshot does not contain by tombstones.
void remove_missing(state_mirror& mirror, const mirror_update& update, std::vector<mirror_item>& changes) {
    std::set<std::string_view> present;
    for (const auto& it : update.items) {
        present.insert(it.key);
    }
    std::vector<std::string> missing;
    for (const auto& [key, it] : mirror.items) {
        if (!it.removed && it.revision <= update.revision && !present.contains(key)) {
            missing.push_back(key);
        }
    }
    for (const auto& key : missing) {
        mirror_item tombstone;
        tombstone.key = key;
        tombstone.revision = update.revision + 1;
        tombstone.removed = true;
        apply_item(mirror, std::move(tombstone), changes);
        auto& known = mirror.items[key];
        if (known.removed) {
            // The exact revision of the removal is unknown, but it is not after the snapshot's.
            known.revision = update.revision;
            known.change_revision = update.revision;
        }
    }
}

void drop_tombstones(state_mirror& mirror) {
    const auto is_removed = [](const auto& it) { return it.second.removed; };
    if (static_cast<std::size_t>(std::count_if(mirror.items.begin(), mirror.items.end(), is_removed)) <=
        max_tombstones) {
        return;
    }
    std::erase_if(mirror.items, is_removed);
    mirror.removals_complete_from = mirror.revision;
}

/// Queries that get the same answer. It is encoded after the lock is released.
struct ready_answer {
    mirror_query query;
    answer_plan plan;
    std::vector<std::function<void(schema::bytes)>> responds;
};

/// Whether the mirror is older than the waiter accepts, so that it should ask another host.
bool is_too_old(const state_mirror& mirror, const mirror_query& query) {
    return query.max_age.count() > 0 && common::boot_clock::now() - mirror.confirmed_at > query.max_age;
}

bool has_later_than_compared(const state_mirror& mirror, const mirror_query& query) {
    return std::any_of(query.compared.begin(), query.compared.end(), [&](const version_name& it) {
        const auto found = mirror.items.find(it.key);
        return found != mirror.items.end() && is_later_than_compared(found->second, query);
    });
}

/// Whether the two get the same answer when they are answered at the same time.
bool is_answered_alike(const mirror_query& a, const mirror_query& b) {
    return a.after == b.after && a.accepts_compressed == b.accepts_compressed && a.held == b.held &&
           a.compared == b.compared;
}

void add_ready(std::vector<ready_answer>& ready, const state_mirror& mirror, mirror_waiter waiter) {
    const auto same = std::find_if(ready.begin(), ready.end(), [&](const ready_answer& it) {
        return is_answered_alike(it.query, waiter.query);
    });
    if (same != ready.end()) {
        same->responds.push_back(std::move(waiter.respond));
        return;
    }
    auto plan = plan_answer(mirror, waiter.query);
    ready.push_back({std::move(waiter.query), std::move(plan), {}});
    ready.back().responds.push_back(std::move(waiter.respond));
}

/// Removes the waiters that have changes to get or whose wait is over, and collects their answers.
std::vector<ready_answer> take_answerable_waiters(mirror_table& table, common::time_point now) {
    std::vector<ready_answer> ready;
    std::erase_if(table.waiters, [&](mirror_waiter& it) {
        if (it.query.after >= table.mirror.change_revision && it.due > now &&
            !is_too_old(table.mirror, it.query) && !has_later_than_compared(table.mirror, it.query)) {
            return false;
        }
        add_ready(ready, table.mirror, std::move(it));
        return true;
    });
    return ready;
}

/// Encodes and sends the answers. Compressing takes milliseconds, in which the request path may need the
/// mirror's lock.
void send_all(mirror_table& table, std::vector<ready_answer> ready) {
    for (auto& it : ready) {
        auto made = compress_values(it.plan);
        if (!made.empty()) {
            const std::lock_guard guard(table.mutex);
            for (auto& form : made) {
                note_compressed(table.mirror.history, std::move(form));
            }
        }
        const auto message = encode_answer(it.plan);
        for (const auto& respond : it.responds) {
            respond(message);
        }
    }
}

} // namespace

std::vector<mirror_item> merge_update(state_mirror& mirror, mirror_update update) {
    std::vector<mirror_item> changes;
    if (mirror.complete && common::era_of(mirror.revision) < common::era_of(update.revision)) {
        mirror.restored_at = monotonic::now();
    }
    if (update.is_snapshot && mirror.complete && update.revision < mirror.revision) {
        return changes;
    }
    if (update.is_snapshot) {
        remove_missing(mirror, update, changes);
        if (!mirror.complete) {
            mirror.removals_complete_from = update.revision;
        }
        mirror.complete = true;
    }
    for (auto& it : update.items) {
        apply_item(mirror, std::move(it), changes);
    }
    mirror.revision = std::max(mirror.revision, update.revision);
    mirror.confirmed_at = std::max(mirror.confirmed_at, update.confirmed_at);
    mirror.store_recovered_at = std::max(mirror.store_recovered_at, update.store_recovered_at);
    drop_tombstones(mirror);
    return changes;
}

mirror_update begin_changes(const state_mirror& mirror, std::uint64_t after) {
    mirror_update changes;
    changes.revision = mirror.revision;
    changes.is_snapshot = mirror.complete && (after == 0 || after < mirror.removals_complete_from);
    changes.confirmed_at = mirror.confirmed_at;
    changes.store_recovered_at = mirror.store_recovered_at;
    return changes;
}

bool is_included(const mirror_update& changes, const mirror_item& item, std::uint64_t after) {
    return changes.is_snapshot ? !item.removed : item.change_revision > after;
}

bool is_later_than_compared(const mirror_item& item, const mirror_query& query) {
    const auto found = std::find_if(query.compared.begin(), query.compared.end(),
                                    [&](const version_name& it) { return it.key == item.key; });
    return found != query.compared.end() && found->revision < item.revision;
}

mirror_update changes_since(const state_mirror& mirror, std::uint64_t after) {
    auto changes = begin_changes(mirror, after);
    for (const auto& [key, it] : mirror.items) {
        if (is_included(changes, it, after)) {
            changes.items.push_back(it);
        }
    }
    return changes;
}

void query_mirror(mirror_table& table, const mirror_query& query,
                  std::function<void(schema::bytes)> respond) {
    std::vector<ready_answer> ready;
    {
        const std::lock_guard guard(table.mutex);
        table.waiters.push_back({query, monotonic::now() + query.wait, std::move(respond)});
        ready = take_answerable_waiters(table, monotonic::now());
    }
    send_all(table, std::move(ready));
}

std::vector<mirror_item> publish_update(mirror_table& table, mirror_update update) {
    std::vector<mirror_item> changes;
    std::vector<ready_answer> ready;
    {
        const std::lock_guard guard(table.mutex);
        changes = merge_update(table.mirror, std::move(update));
        ready = take_answerable_waiters(table, monotonic::now());
    }
    send_all(table, std::move(ready));
    return changes;
}

void answer_expired_waiters(mirror_table& table) {
    std::vector<ready_answer> ready;
    {
        const std::lock_guard guard(table.mutex);
        ready = take_answerable_waiters(table, monotonic::now());
    }
    send_all(table, std::move(ready));
}

} // namespace lycheegap::gateway
