#include "core/gateway/state_mirror.h"

#include <doctest/doctest.h>

#include "core/gateway/mirror_answer.h"

namespace lycheegap::gateway {

namespace {

using common::milliseconds;

mirror_update update(std::uint64_t revision, std::vector<mirror_item> items, bool is_snapshot = false) {
    mirror_update made;
    made.revision = revision;
    made.items = std::move(items);
    made.is_snapshot = is_snapshot;
    made.confirmed_at = common::boot_clock::now();
    return made;
}

} // namespace

TEST_CASE("no key goes back to an older revision when updates arrive late") {
    state_mirror mirror;
    CHECK(merge_update(mirror, update(5, {{"op", "five", 5, 0, false}}, true)).size() == 1);
    CHECK(merge_update(mirror, update(4, {{"op", "four", 4, 0, false}}, true)).empty());
    CHECK(merge_update(mirror, update(4, {{"op", "four", 4, 0, false}})).empty());
    CHECK(mirror.items["op"].value == "five");
    CHECK(mirror.revision == 5);
    CHECK(merge_update(mirror, update(6, {{"op", "", 6, 0, true}})).at(0).removed);
    CHECK(merge_update(mirror, update(6, {{"op", "five", 5, 0, false}})).empty());
}

TEST_CASE("a snapshot removes the items that it does not contain") {
    state_mirror mirror;
    merge_update(mirror, update(2, {{"a", "1", 1, 0, false}, {"b", "1", 2, 0, false}}, true));
    const auto changes = merge_update(mirror, update(7, {{"b", "1", 2, 0, false}}, true));
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].key == "a");
    CHECK(changes[0].removed);
    CHECK(merge_update(mirror, update(8, {{"a", "2", 8, 0, false}})).size() == 1);
}

TEST_CASE("the removal of a key that was added and removed between two reads is reported") {
    state_mirror mirror;
    merge_update(mirror, update(2, {{"a", "1", 1, 0, false}}, true));
    const auto changes = merge_update(mirror, update(4, {{"vacated", "", 4, 0, true}}));
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].key == "vacated");
    CHECK(changes[0].removed);
}

TEST_CASE("a host that is behind gets the changes that it lacks, including removals") {
    state_mirror mirror;
    merge_update(mirror, update(2, {{"a", "1", 1, 0, false}, {"b", "1", 2, 0, false}}, true));
    merge_update(mirror, update(3, {{"a", "", 3, 0, true}}));
    const auto late = changes_since(mirror, 2);
    CHECK_FALSE(late.is_snapshot);
    REQUIRE(late.items.size() == 1);
    CHECK(late.items[0].removed);
    const auto fresh = changes_since(mirror, 0);
    CHECK(fresh.is_snapshot);
    REQUIRE(fresh.items.size() == 1);
    CHECK(fresh.items[0].key == "b");
    // Removals before the first snapshot are unknown, so an older revision gets a snapshot; a mirror that has
    // none cannot send one.
    CHECK(changes_since(mirror, 1).is_snapshot);
    CHECK_FALSE(changes_since(state_mirror{}, 0).is_snapshot);
}

TEST_CASE("a query waits for a change, and its answer carries the age of the state") {
    mirror_table table;
    publish_update(table, update(2, {{"a", "1", 1, 0, false}}, true));
    std::optional<mirror_update> answer;
    const auto asked_at = common::boot_clock::now();
    const auto keep = [&](const schema::bytes& message) {
        answer = decode_mirror_answer(message, asked_at, "peer");
    };
    query_mirror(table, {.after = 2, .wait = milliseconds(10000)}, keep);
    CHECK_FALSE(answer);
    publish_update(table, update(3, {{"b", "2", 3, 0, false}}));
    REQUIRE(answer);
    CHECK(answer->revision == 3);
    REQUIRE(answer->items.size() == 1);
    CHECK(answer->items[0].value == "2");
    CHECK(common::boot_clock::now() - answer->confirmed_at < milliseconds(5000));
    answer.reset();
    query_mirror(table, {.after = 3, .wait = milliseconds(0)}, keep);
    CHECK(answer);
}

TEST_CASE("a host whose mirror is too old answers a query at once") {
    mirror_table table;
    publish_update(table, update(2, {{"a", "1", 1, 0, false}}, true));
    table.mirror.confirmed_at = common::boot_clock::now();
    std::optional<mirror_update> answer;
    const auto keep = [&](const schema::bytes& message) {
        answer = decode_mirror_answer(message, common::boot_clock::now(), "peer");
    };
    const mirror_query query{.after = 2, .wait = milliseconds(10'000), .max_age = milliseconds(60'000)};
    query_mirror(table, query, keep);
    CHECK_FALSE(answer);
    table.mirror.confirmed_at = common::boot_clock::now() - milliseconds(61'000);
    answer_expired_waiters(table);
    REQUIRE(answer);
    CHECK(common::boot_clock::now() - answer->confirmed_at > milliseconds(60'000));
    answer.reset();
    query_mirror(table, query, keep);
    CHECK(answer);
}

TEST_CASE("heartbeats are not reported as changes and hide no change") {
    mirror_table table;
    table.mirror.is_heartbeat = [](const mirror_item& known, const mirror_item& newer) {
        return known.value == newer.value;
    };
    publish_update(table, update(2, {{"a", "up", 1, 0, false}, {"b", "up", 2, 0, false}}, true));
    std::optional<mirror_update> answer;
    const auto keep = [&](const schema::bytes& message) {
        answer = decode_mirror_answer(message, common::boot_clock::now(), "peer");
    };
    query_mirror(table, {.after = 2, .wait = milliseconds(10000)}, keep);
    CHECK(publish_update(table, update(4, {{"a", "up", 3, 0, false}, {"b", "up", 4, 0, false}})).empty());
    CHECK_FALSE(answer);
    CHECK(publish_update(table, update(5, {{"b", "leaving", 5, 0, false}})).size() == 1);
    REQUIRE(answer);
    REQUIRE(answer->items.size() == 1);
    CHECK(answer->items[0].key == "b");
    CHECK(answer->revision == 5);
    // A host that is behind, or was served by another relay, still gets every change.
    CHECK(changes_since(table.mirror, 2).items.size() == 1);
    CHECK(changes_since(table.mirror, 3).items.size() == 1);
    CHECK(changes_since(table.mirror, 0).items.size() == 2);
    // The removal of an item whose last updates were heartbeats is a change, and so is its return.
    CHECK(publish_update(table, update(6, {{"a", "", 6, 0, true}})).size() == 1);
    CHECK(publish_update(table, update(7, {{"a", "up", 7, 0, false}})).size() == 1);
}

// Guards against hosts that keep an item since this one knew it as removed when it was added and removed
// again.
TEST_CASE("a removal is passed on again when the item was added and removed between two reads") {
    state_mirror mirror;
    mirror_update first;
    first.revision = 10;
    first.is_snapshot = true;
    merge_update(mirror, first);
    for (const std::uint64_t revision : {20U, 30U}) {
        mirror_update removal;
        removal.revision = revision;
        removal.items = {{"key", {}, revision, 0, true}};
        CHECK(merge_update(mirror, removal).size() == 1);
    }
    CHECK(changes_since(mirror, 25).items.size() == 1);
}

} // namespace lycheegap::gateway
