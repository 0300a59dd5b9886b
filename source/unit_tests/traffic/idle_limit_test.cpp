#include "core/traffic/idle_limit.h"

#include <random>

#include <doctest/doctest.h>

namespace lycheegap::traffic {

namespace {

using common::milliseconds;

constexpr common::time_point begin{std::chrono::seconds(1000)};
// The former fixed bound: four seconds by default, less a margin.
constexpr milliseconds former_sure_rest{1500};

/// Requests that were sent over a connection which its endpoint had forgotten, and all new connections.
struct race_result {
    int lost{0};
    int opened{0};
};

/// Plays requests that must not be repeated, and others, over connections of random age. From 5 s to 12 s
/// half of the endpoints forget connections that were idle for 260 ms.
template <typename Sure>
race_result play_race(Sure sure_rest) {
    std::mt19937 random(3);
    race_result result;
    idle_limit limit;
    for (int n = 0; n < 4000; ++n) {
        const auto now = begin + milliseconds(5) * n;
        const milliseconds rest{random() % 3000};
        const std::uint64_t endpoint = random() % 100;
        const bool repeatable = random() % 3 != 0;
        const auto since = now - begin;
        const bool forgets = since >= milliseconds(5000) && since < milliseconds(12'000) && endpoint % 2 == 0;
        if (!repeatable && rest >= sure_rest(limit, now)) {
            ++result.opened;
        } else if (forgets && rest >= milliseconds(260)) {
            note_idle_closed(limit, endpoint, rest, now);
            result.lost += repeatable ? 0 : 1;
        } else {
            note_idle_survived(limit, rest, now);
        }
    }
    return result;
}

} // namespace

TEST_CASE("without evidence only fresh connections carry what must not be repeated") {
    idle_limit limit;
    CHECK(longest_sure_rest(limit, begin) <= milliseconds(200));
    note_idle_survived(limit, milliseconds(3000), begin);
    CHECK(longest_sure_rest(limit, begin) == milliseconds(1500));
    CHECK(longest_sure_rest(limit, begin + milliseconds(10'000)) <= milliseconds(200));
}

TEST_CASE("closures bound the rest, are forgotten after a while, and take bounded memory") {
    idle_limit limit;
    note_idle_closed(limit, 1, milliseconds(600), begin);
    note_idle_closed(limit, 1, milliseconds(400), begin);
    const auto later = begin + milliseconds(5000);
    note_idle_survived(limit, milliseconds(3000), later);
    CHECK(longest_sure_rest(limit, later) == milliseconds(200));
    const auto after = begin + milliseconds(30'000);
    note_idle_survived(limit, milliseconds(3000), after);
    CHECK(longest_sure_rest(limit, after) == milliseconds(1500));
    for (std::uint64_t n = 0; n < 1000; ++n) {
        note_idle_closed(limit, n, milliseconds(n), begin);
    }
    CHECK(limit.closures.size() <= max_idle_closures);
}

TEST_CASE(
    "when endpoints begin to forget idle connections, few requests are lost, with most connections kept") {
    const auto former = play_race([](const auto&, auto) { return former_sure_rest; });
    const auto learned = play_race([](const auto& it, auto now) { return longest_sure_rest(it, now); });
    CHECK(learned.lost * 10 < former.lost);
    CHECK(learned.opened < 2 * former.opened);
}

} // namespace lycheegap::traffic
