#include "core/gateway/mirror_answer.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "core/common/compression.h"

namespace lycheegap::gateway {

namespace {

constexpr int route_count = 1400;

/// A value with about 300 bytes for each of `route_count` routes; `changed` is the route that differs.
std::string large_text(int changed) {
    std::uint64_t random = 1;
    std::string text;
    for (int n = 0; n < route_count; ++n) {
        for (int part = 0; part < 6; ++part) {
            random = random * 6364136223846793005U + 1442695040888963407U;
            text += "{\"name\":\"" + std::to_string(random) + "\",\"prefix\":\"/a/\"},";
        }
        text += n == changed ? "changed" : "";
    }
    return text;
}

mirror_update update_of(std::uint64_t revision, std::string value, bool is_snapshot = false) {
    mirror_update made;
    made.revision = revision;
    made.items = {{"large", std::move(value), revision, 0, false}, {"small", "s", revision, 0, false}};
    made.is_snapshot = is_snapshot;
    made.confirmed_at = common::boot_clock::now();
    return made;
}

/// A mirror that has had two versions of the large value, at revisions 1 and 2.
state_mirror two_versions() {
    state_mirror mirror;
    merge_update(mirror, update_of(1, large_text(7), true));
    merge_update(mirror, update_of(2, large_text(8)));
    return mirror;
}

schema::bytes answer_of(const state_mirror& mirror, const mirror_query& query) {
    auto plan = plan_answer(mirror, query);
    compress_values(plan);
    return encode_answer(plan);
}

std::optional<mirror_update> decode(const schema::bytes& message, const state_mirror& asking) {
    return decode_mirror_answer(message, common::boot_clock::now(), "peer",
                                [&](std::string_view key, std::uint64_t revision) {
                                    return find_version(asking.history, key, revision);
                                });
}

} // namespace

TEST_CASE("a host that has the previous version of a large value gets what differs from it") {
    const auto mirror = two_versions();
    state_mirror asking;
    merge_update(asking, update_of(1, large_text(7), true));
    const auto held = latest_versions(asking.history);
    REQUIRE(held.size() == 1);
    const auto message = answer_of(mirror, {.after = 1, .accepts_compressed = true, .held = held});
    CHECK(message.size() < 4096);
    const auto update = decode(message, asking);
    REQUIRE(update);
    REQUIRE(update->items.size() == 2);
    CHECK(update->items[0].value == large_text(8));
    CHECK(update->items[1].value == "s");
}

TEST_CASE("a host with a version that is no longer kept gets the whole value") {
    const auto mirror = two_versions();
    state_mirror asking;
    merge_update(asking, update_of(77, large_text(3), true));
    const auto held = latest_versions(asking.history);
    const auto update =
        decode(answer_of(mirror, {.after = 1, .accepts_compressed = true, .held = held}), asking);
    REQUIRE(update);
    CHECK(update->items[0].value == large_text(8));
}

TEST_CASE("a host that doesn't read compressed values gets plain ones") {
    const auto mirror = two_versions();
    const auto update = decode(answer_of(mirror, {.after = 1}), {});
    REQUIRE(update);
    CHECK(update->items[0].value == large_text(8));
}

TEST_CASE("a difference from a version that the asking host no longer has is refused") {
    const auto mirror = two_versions();
    const std::vector<version_name> held = {{"large", 1}};
    const auto message = answer_of(mirror, {.after = 1, .accepts_compressed = true, .held = held});
    CHECK_FALSE(decode(message, {}));
    state_mirror other;
    merge_update(other, update_of(1, large_text(99), true));
    CHECK_FALSE(decode(message, other));
}

TEST_CASE("a host that lacks only small items gets nothing of the large value") {
    auto mirror = two_versions();
    merge_update(mirror, update_of(2, large_text(8)));
    mirror_update small;
    small.revision = 3;
    small.items = {{"small", "t", 3, 0, false}};
    merge_update(mirror, std::move(small));
    const auto message =
        answer_of(mirror, {.after = 2, .accepts_compressed = true, .held = latest_versions(mirror.history)});
    CHECK(message.size() < 512);
}

TEST_CASE("the history of large values stays within its limits") {
    value_history history;
    for (std::uint64_t n = 1; n <= 50; ++n) {
        note_version(history, "large", n, std::string(1U << 20U, 'x'));
        note_compressed(history, {{"large", n}, 0, std::make_shared<const std::string>("c")});
    }
    CHECK(history.versions.at("large").size() <= 6);
    CHECK(history.compressed.size() <= 16);
    for (std::uint64_t n = 1; n <= 6; ++n) {
        note_compressed(history, {{"large", n}, 0, std::make_shared<const std::string>(1U << 20U, 'c')});
    }
    CHECK(history.compressed.size() == 4);
    CHECK(find_version(history, "large", 50));
    CHECK_FALSE(find_version(history, "large", 1));
    note_version(history, "large", 52, "");
    CHECK(history.versions.empty());
    // The limit is one for all keys, whoever writes them.
    for (std::uint64_t n = 1; n <= 5000; ++n) {
        note_version(history, "key-" + std::to_string(n % 3000), n, std::string(1U << 14U, 'x'));
    }
    std::size_t bytes = 0;
    for (const auto& [key, versions] : history.versions) {
        for (const auto& it : versions) {
            bytes += it.value->size();
        }
    }
    CHECK(bytes <= (8U << 20U));
    CHECK(find_version(history, "key-2000", 5000));
    note_version(history, "whole", 6000, std::string((8U << 20U) + 1, 'x'));
    CHECK(history.versions.empty());
}

TEST_CASE("hosts that wait at the same revision get the same bytes, encoded once") {
    mirror_table table;
    publish_update(table, update_of(1, large_text(7), true));
    std::vector<schema::bytes> answers;
    const mirror_query query{
        .after = 1, .wait = common::milliseconds(10'000), .accepts_compressed = true, .held = {{"large", 1}}};
    for (int n = 0; n < 3; ++n) {
        query_mirror(table, query, [&](schema::bytes answer) { answers.push_back(std::move(answer)); });
    }
    CHECK(answers.empty());
    publish_update(table, update_of(2, large_text(8)));
    REQUIRE(answers.size() == 3);
    CHECK(answers[0] == answers[1]);
    CHECK(answers[0] == answers[2]);
    CHECK(table.mirror.history.compressed.size() == 1);
    // A later query uses the same compressed form.
    query_mirror(table, query, [&](schema::bytes answer) { answers.push_back(std::move(answer)); });
    CHECK(answers.size() == 4);
    CHECK(table.mirror.history.compressed.size() == 1);
}

// Guards against whole copies of the store on the links of relays that have just started: every other host
// gets one from them.
TEST_CASE("a snapshot of many small items takes a small part of their bytes") {
    state_mirror mirror;
    mirror_update all;
    all.revision = 900;
    all.is_snapshot = true;
    all.confirmed_at = common::boot_clock::now();
    std::size_t bytes = 0;
    for (std::uint64_t n = 0; n < 900; ++n) {
        const auto id = std::to_string(n * 7919);
        auto value = fmt::format(R"({{"address":"10.0.0.{0}:80","info":{{"service":"desk","zone":"north",)"
                                 R"("version":"v1","capacity":6}},"status":{{"state":"ready","sequence":{0},)"
                                 R"("cold_remaining_s":0}},"born":17330000{0}}})",
                                 id);
        all.items.push_back({"endpoints/" + id, std::move(value), n + 1, 0, false});
        bytes += all.items.back().value.size();
    }
    const auto items = all.items;
    merge_update(mirror, std::move(all));
    const auto message = answer_of(mirror, {.after = 0, .accepts_compressed = true, .held = {}});
    CHECK(message.size() < bytes / 4);
    const auto update = decode(message, {});
    REQUIRE(update);
    CHECK(update->is_snapshot);
    REQUIRE(update->items.size() == items.size());
    for (const auto& it : update->items) {
        CHECK(it.value == mirror.items[it.key].value);
        CHECK(it.revision == mirror.items[it.key].revision);
    }
    auto damaged = message;
    damaged[damaged.size() / 2] ^= std::byte{0x55};
    CHECK_FALSE(decode(damaged, {}));
}

TEST_CASE("damaged and oversized compressed values are refused") {
    const auto text = large_text(1);
    auto compressed = *common::compress(text, {});
    CHECK(common::expand(compressed, {}, text.size()) == text);
    CHECK_FALSE(common::expand(compressed, {}, text.size() - 1));
    CHECK_FALSE(
        common::expand(std::string_view(compressed).substr(0, compressed.size() / 2), {}, text.size()));
    compressed[compressed.size() / 2] = static_cast<char>(compressed[compressed.size() / 2] ^ 0x55);
    CHECK_FALSE(common::expand(compressed, {}, text.size()));
    CHECK_FALSE(common::expand("", {}, text.size()));
    CHECK(common::expand(*common::compress("", {}), {}, 0) == "");
}

} // namespace lycheegap::gateway
