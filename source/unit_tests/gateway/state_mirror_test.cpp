#include "core/gateway/state_mirror.h"

#include <doctest/doctest.h>

namespace lycheegap::gateway {

namespace {

using common::milliseconds;

mirror_update update(std::uint64_t revision, std::vector<mirror_item> items, bool whole = false) {
    mirror_update made;
    made.revision = revision;
    made.items = std::move(items);
    made.whole = whole;
    made.confirmed_at = common::boot_clock::now();
    return made;
}

} // namespace

TEST_CASE("no key goes back to an older revision, whatever answers late") {
    state_mirror mirror;
    CHECK(merge_update(mirror, update(5, {{"op", "five", 5, 0, false}}, true)).size() == 1);
    CHECK(merge_update(mirror, update(4, {{"op", "four", 4, 0, false}}, true)).empty());
    CHECK(merge_update(mirror, update(4, {{"op", "four", 4, 0, false}})).empty());
    CHECK(mirror.items["op"].value == "five");
    CHECK(mirror.revision == 5);
    CHECK(merge_update(mirror, update(6, {{"op", "", 6, 0, true}})).at(0).removed);
    CHECK(merge_update(mirror, update(6, {{"op", "five", 5, 0, false}})).empty());
}

TEST_CASE("what a whole update does not name is gone") {
    state_mirror mirror;
    merge_update(mirror, update(2, {{"a", "1", 1, 0, false}, {"b", "1", 2, 0, false}}, true));
    const auto news = merge_update(mirror, update(7, {{"b", "1", 2, 0, false}}, true));
    REQUIRE(news.size() == 1);
    CHECK(news[0].key == "a");
    CHECK(news[0].removed);
    CHECK(merge_update(mirror, update(8, {{"a", "2", 8, 0, false}})).size() == 1);
}

TEST_CASE("a key that came and went between two reads is told as gone") {
    state_mirror mirror;
    merge_update(mirror, update(2, {{"a", "1", 1, 0, false}}, true));
    const auto news = merge_update(mirror, update(4, {{"vacated", "", 4, 0, true}}));
    REQUIRE(news.size() == 1);
    CHECK(news[0].key == "vacated");
    CHECK(news[0].removed);
}

TEST_CASE("a host that is behind gets what it lacks, removals included") {
    state_mirror mirror;
    merge_update(mirror, update(2, {{"a", "1", 1, 0, false}, {"b", "1", 2, 0, false}}, true));
    merge_update(mirror, update(3, {{"a", "", 3, 0, true}}));
    const auto late = changes_after(mirror, 2);
    CHECK_FALSE(late.whole);
    REQUIRE(late.items.size() == 1);
    CHECK(late.items[0].removed);
    const auto fresh = changes_after(mirror, 0);
    CHECK(fresh.whole);
    REQUIRE(fresh.items.size() == 1);
    CHECK(fresh.items[0].key == "b");
    // Before its first whole read a host cannot say what is gone.
    CHECK(changes_after(mirror, 1).whole);
    CHECK_FALSE(changes_after(state_mirror{}, 0).whole);
}

TEST_CASE("a question waits for a change and is answered with its age") {
    mirror_table table;
    publish_update(table, update(2, {{"a", "1", 1, 0, false}}, true));
    std::optional<mirror_update> answer;
    const auto asked_at = common::boot_clock::now();
    const auto keep = [&](const schema::bytes& message) {
        answer = read_mirror_answer(message, asked_at, "peer");
    };
    ask_mirror(table, 2, milliseconds(10000), keep);
    CHECK_FALSE(answer);
    publish_update(table, update(3, {{"b", "2", 3, 0, false}}));
    REQUIRE(answer);
    CHECK(answer->revision == 3);
    REQUIRE(answer->items.size() == 1);
    CHECK(answer->items[0].value == "2");
    CHECK(common::boot_clock::now() - answer->confirmed_at < milliseconds(5000));
    answer.reset();
    ask_mirror(table, 3, milliseconds(0), keep);
    CHECK(answer);
}

TEST_CASE("heartbeats are no news, and hide none") {
    mirror_table table;
    table.mirror.is_heartbeat = [](const mirror_item& known, const mirror_item& newer) {
        return known.value == newer.value;
    };
    publish_update(table, update(2, {{"a", "up", 1, 0, false}, {"b", "up", 2, 0, false}}, true));
    std::optional<mirror_update> answer;
    const auto keep = [&](const schema::bytes& message) {
        answer = read_mirror_answer(message, common::boot_clock::now(), "peer");
    };
    ask_mirror(table, 2, milliseconds(10000), keep);
    CHECK(publish_update(table, update(4, {{"a", "up", 3, 0, false}, {"b", "up", 4, 0, false}})).empty());
    CHECK_FALSE(answer);
    CHECK(publish_update(table, update(5, {{"b", "leaving", 5, 0, false}})).size() == 1);
    REQUIRE(answer);
    REQUIRE(answer->items.size() == 1);
    CHECK(answer->items[0].key == "b");
    CHECK(answer->revision == 5);
    // A host that is behind, or comes from another relay, lacks nothing.
    CHECK(changes_after(table.mirror, 2).items.size() == 1);
    CHECK(changes_after(table.mirror, 3).items.size() == 1);
    CHECK(changes_after(table.mirror, 0).items.size() == 2);
    // A removal of what only heartbeats told of lately is news, and so is the entry's return.
    CHECK(publish_update(table, update(6, {{"a", "", 6, 0, true}})).size() == 1);
    CHECK(publish_update(table, update(7, {{"a", "up", 7, 0, false}})).size() == 1);
}

} // namespace lycheegap::gateway
