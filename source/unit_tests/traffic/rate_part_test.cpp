#include "core/traffic/rate_part.h"

#include <doctest/doctest.h>

namespace lycheegap::traffic {

namespace {

using common::milliseconds;

const common::time_point start{std::chrono::seconds(1000)};
constexpr std::string_view own_host = "host-1";

common::time_point at(int ms) {
    return start + milliseconds(ms);
}

fleet_view view_of_two_hosts() {
    fleet_view view;
    for (const auto* name : {"host-1", "host-2"}) {
        fleet_member made;
        made.name = name;
        made.peer_address = name;
        made.request_address = name;
        add_member(view, made, own_host, start);
    }
    return view;
}

/// Requests that the host passes at this time with tokens of its own.
int passed_at(team_tokens& tokens, const own_part& part, const fleet_view& view, int ms) {
    const auto own = held_limit(part, view, {20, 200});
    note_own_limit(tokens, part, own, at(ms));
    int passed = 0;
    while (decide_token(tokens, tokens.own_limit, at(ms)).step == token_step::taken) {
        ++passed;
    }
    return passed;
}

} // namespace

TEST_CASE("a host uses no part of a limit when its knowledge of the fleet has run out") {
    const auto view = view_of_two_hosts();
    own_part part;
    team_tokens tokens;
    note_own_part(part, {own_host, &view, at(3000)}, at(0));
    CHECK(passed_at(tokens, part, view, 0) == 0);
    note_own_part(part, {own_host, &view, at(3000)}, at(2999));
    CHECK(passed_at(tokens, part, view, 2999) > 0);
    note_own_part(part, {own_host, &view, at(3000)}, at(3000));
    CHECK(passed_at(tokens, part, view, 3000) == 0);
}

TEST_CASE("a host that has its part again has none of the tokens from before, and no credit for the gap") {
    const auto view = view_of_two_hosts();
    for (const bool noticed : {true, false}) {
        CAPTURE(noticed);
        own_part part;
        team_tokens tokens;
        note_own_part(part, {own_host, &view, at(3000)}, at(0));
        REQUIRE(passed_at(tokens, part, view, 0) == 0);
        if (noticed) {
            // Only the right is updated meanwhile, as while nobody sends requests.
            note_own_part(part, {own_host, &view, at(3000)}, at(3250));
            note_own_part(part, {own_host, &view, at(3000)}, at(9000));
        }
        note_own_part(part, {own_host, &view, at(12'000)}, at(10'000));
        CHECK(passed_at(tokens, part, view, 10'000) == 0);
        // Six tenths of the rate of 20 are divided among two hosts.
        note_own_part(part, {own_host, &view, at(12'000)}, at(10'500));
        CHECK(passed_at(tokens, part, view, 10'500) == 3);
    }
}

TEST_CASE("a host that left and joined again between two updates starts with an empty bucket") {
    auto view = view_of_two_hosts();
    own_part part;
    team_tokens tokens;
    note_own_part(part, {own_host, &view, at(3000)}, at(0));
    REQUIRE(passed_at(tokens, part, view, 0) == 0);
    auto member = view.members.at("host-1");
    remove_member(view, own_host, own_host, at(1000));
    add_member(view, member, own_host, at(2000));
    note_own_part(part, {own_host, &view, at(5000)}, at(2100));
    CHECK(passed_at(tokens, part, view, 2100) == 0);
}

TEST_CASE(
    "a home that may lend again after a gap has none of the tokens from before, and no credit for the gap") {
    const rate_limit limit{10, 50};
    home_bucket home;
    note_home(home, true, at(0));
    note_lending_right(home, at(5000), at(0));
    note_lending_right(home, at(8000), at(4000));
    CHECK(lend(home, limit, 10, at(7000)) == 10);
    // Its right ran out unnoticed.
    note_lending_right(home, at(13'000), at(10'000));
    CHECK(lend(home, limit, 10, at(10'000)) == 0);
    note_lending_right(home, at(14'000), at(11'000));
    CHECK(lend(home, limit, 10, at(11'000)) == 5);
}

TEST_CASE("a limit that comes back, because the fleet has become smaller, credits no time without it") {
    auto view = view_of_two_hosts();
    own_part part;
    team_tokens tokens;
    note_own_part(part, {own_host, &view, at(60'000)}, at(0));
    note_own_limit(tokens, part, held_limit(part, view, {20, 200}), at(0));
    // In a larger fleet each host would hold too few tokens.
    note_own_limit(tokens, part, held_limit(part, view, {20, 2}), at(1000));
    CHECK_FALSE(has_own_tokens(tokens.own_limit));
    CHECK(passed_at(tokens, part, view, 9000) == 0);
    CHECK(passed_at(tokens, part, view, 9500) == 3);
}

} // namespace lycheegap::traffic
