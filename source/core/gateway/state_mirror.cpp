#include "state_mirror.h"

#include <algorithm>
#include <limits>
#include <mutex>
#include <set>

#include "core/schema/peer_codec.h"

namespace lycheegap::gateway {

namespace {

using common::milliseconds;
using common::monotonic;

// Tombstones kept. When there are more, all are dropped, and hosts that are behind get a snapshot.
constexpr std::size_t max_tombstones = 2000;

/// Merges one item and appends it to `changes` unless it is older than the known one or a heartbeat.
void apply_item(state_mirror& mirror, mirror_item item, std::vector<mirror_item>& changes) {
    const auto known = mirror.items.find(item.key);
    if (known != mirror.items.end() && known->second.revision >= item.revision) {
        return;
    }
    const bool existed = known != mirror.items.end() && !known->second.removed;
    if (existed && !item.removed && mirror.is_heartbeat != nullptr &&
        mirror.is_heartbeat(known->second, item)) {
        known->second.revision = item.revision;
        return;
    }
    item.change_revision = item.revision;
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
        // The exact revision of the removal is unknown, but it is not after the snapshot's.
        mirror.items[key].revision = update.revision;
        mirror.items[key].change_revision = update.revision;
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

mirror_item to_item(const schema::mirror_item_record_t& from) {
    mirror_item made;
    made.key = from.key;
    made.value.assign(from.value.begin(), from.value.end());
    made.revision = from.revision;
    made.lease = from.lease;
    made.removed = from.removed;
    return made;
}

std::unique_ptr<schema::mirror_item_record_t> to_record(const mirror_item& from) {
    auto made = std::make_unique<schema::mirror_item_record_t>();
    made->key = from.key;
    made->value.assign(from.value.begin(), from.value.end());
    made->revision = from.revision;
    made->lease = from.lease;
    made->removed = from.removed;
    return made;
}

schema::bytes encode_answer(const state_mirror& mirror, std::uint64_t after) {
    const auto now = monotonic::now();
    auto changes = changes_since(mirror, after);
    schema::mirror_answer_t answer;
    answer.revision = changes.revision;
    answer.whole = changes.is_snapshot;
    for (const auto& it : changes.items) {
        answer.items.push_back(to_record(it));
    }
    answer.age = static_cast<int>(
        std::min<std::int64_t>(common::milliseconds_between(mirror.confirmed_at, common::boot_clock::now()),
                               std::numeric_limits<int>::max()));
    if (mirror.store_recovered_at) {
        answer.back_age = static_cast<int>(std::min<std::int64_t>(
            common::milliseconds_between(*mirror.store_recovered_at, now), std::numeric_limits<int>::max()));
    }
    return schema::encode_peer(std::move(answer));
}

/// An encoded answer to be sent after the lock is released.
struct ready_response {
    std::function<void(schema::bytes)> respond;
    schema::bytes message;
};

/// Whether the mirror is older than the waiter accepts, so that it should ask another host.
bool is_too_old(const state_mirror& mirror, const mirror_waiter& it) {
    return it.max_age.count() > 0 && common::boot_clock::now() - mirror.confirmed_at > it.max_age;
}

/// Removes the waiters that have changes to get or whose wait is over, and encodes their answers.
std::vector<ready_response> take_answerable_waiters(mirror_table& table, common::time_point now) {
    std::vector<ready_response> ready;
    std::erase_if(table.waiters, [&](mirror_waiter& it) {
        if (it.after >= table.mirror.change_revision && it.due > now && !is_too_old(table.mirror, it)) {
            return false;
        }
        ready.push_back({std::move(it.respond), encode_answer(table.mirror, it.after)});
        return true;
    });
    return ready;
}

void send_all(std::vector<ready_response> ready) {
    for (auto& it : ready) {
        it.respond(std::move(it.message));
    }
}

} // namespace

std::vector<mirror_item> merge_update(state_mirror& mirror, mirror_update update) {
    std::vector<mirror_item> changes;
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

mirror_update changes_since(const state_mirror& mirror, std::uint64_t after) {
    mirror_update changes;
    changes.revision = mirror.revision;
    changes.is_snapshot = mirror.complete && (after == 0 || after < mirror.removals_complete_from);
    changes.confirmed_at = mirror.confirmed_at;
    changes.store_recovered_at = mirror.store_recovered_at;
    for (const auto& [key, it] : mirror.items) {
        if (changes.is_snapshot ? !it.removed : it.change_revision > after) {
            changes.items.push_back(it);
        }
    }
    return changes;
}

void query_mirror(mirror_table& table, const mirror_query& query,
                  std::function<void(schema::bytes)> respond) {
    std::vector<ready_response> ready;
    {
        const std::lock_guard guard(table.mutex);
        table.waiters.push_back(
            {query.after, monotonic::now() + query.wait, query.max_age, std::move(respond)});
        ready = take_answerable_waiters(table, monotonic::now());
    }
    send_all(std::move(ready));
}

std::vector<mirror_item> publish_update(mirror_table& table, mirror_update update) {
    std::vector<mirror_item> changes;
    std::vector<ready_response> ready;
    {
        const std::lock_guard guard(table.mutex);
        changes = merge_update(table.mirror, std::move(update));
        ready = take_answerable_waiters(table, monotonic::now());
    }
    send_all(std::move(ready));
    return changes;
}

void answer_expired_waiters(mirror_table& table) {
    std::vector<ready_response> ready;
    {
        const std::lock_guard guard(table.mutex);
        ready = take_answerable_waiters(table, monotonic::now());
    }
    send_all(std::move(ready));
}

std::optional<mirror_update> decode_mirror_answer(schema::byte_view message,
                                                  common::boot_clock::time_point asked_at,
                                                  std::string_view peer) {
    const auto read = schema::decode<schema::peer_message>(message, peer);
    const auto* answer = read ? read->body.Asmirror_answer() : nullptr;
    if (answer == nullptr) {
        return common::fail(common::step::decode, peer, "not a mirror answer");
    }
    mirror_update update;
    update.revision = answer->revision;
    update.is_snapshot = answer->whole;
    // The age is counted back from when the query was sent, since the answer may have been delayed on its
    // way.
    update.confirmed_at = asked_at - milliseconds{std::max(answer->age, 0)};
    if (answer->back_age >= 0) {
        const auto back_for = common::boot_clock::now() - asked_at + milliseconds{answer->back_age};
        update.store_recovered_at = monotonic::now() - back_for;
    }
    for (const auto& it : answer->items) {
        if (it) {
            update.items.push_back(to_item(*it));
        }
    }
    return update;
}

} // namespace lycheegap::gateway
