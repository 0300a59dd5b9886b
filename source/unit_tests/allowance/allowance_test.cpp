#include <doctest/doctest.h>

#include "core/allowance/borrower_account.h"
#include "core/allowance/home.h"
#include "core/allowance/home_account.h"

namespace lycheegap::allowance {

namespace {

using common::milliseconds;
using common::time_point;

const time_point start{milliseconds(1'000'000)};

} // namespace

TEST_CASE("an account fills with its rate up to its burst") {
    auto account = open_account({10, 5}, {}, {1, 1, start}, start);
    account.unknown = 0;
    CHECK_FALSE(take_own(account, start));
    CHECK(take_own(account, start + milliseconds(101)));
    for (int n = 0; n < 5; ++n) {
        CHECK(take_own(account, start + milliseconds(10'000)));
    }
    CHECK_FALSE(take_own(account, start + milliseconds(10'000)));
    CHECK_FALSE(take_own(account, start));
}

TEST_CASE("a new home lends nothing until loans of the home before have ended") {
    const loan_policy policy;
    auto account = open_account({1000, 5}, policy, {1, 1, start}, start);
    CHECK_FALSE(take_own(account, start + policy.length));
    CHECK(take_own(account, lender_deadline(start, policy.length) + milliseconds(2)));
}

TEST_CASE("a smaller burst cuts tokens at once and loans with them") {
    auto account = open_account({10, 5}, {}, {1, 1, start}, start);
    refill(account, start + milliseconds(10'000));
    set_limits(account, {10, 2}, start + milliseconds(10'000));
    CHECK(account.tokens == doctest::Approx(2));

    borrower_account borrower;
    keep_within(borrower, {10, 10}, start);
    borrower.loans.push_back({1, 8, 0, 0, start + milliseconds(500)});
    keep_within(borrower, {10, 5}, start);
    CHECK(held_tokens(borrower, start) == 4);
    CHECK(held_tokens(borrower, start + milliseconds(500)) == 0);
}

TEST_CASE("tokens on loan leave no room in the bucket until they are reported or the loan ends") {
    const loan_policy policy;
    auto account = open_account({10, 5}, policy, {1, 1, start}, start);
    const auto later = start + milliseconds(10'000);
    const auto grant = lend(account, policy, {"b", 5, 0, {}}, later);
    CHECK(grant.tokens == 5);
    CHECK_FALSE(take_own(account, later + milliseconds(900)));
    lend(account, policy, {"b", 0, 0, {{grant.id, 5, 0}}}, later + milliseconds(900));
    CHECK(take_own(account, later + milliseconds(1010)));
}

TEST_CASE("a report twice or late counts once") {
    const loan_policy policy;
    auto account = open_account({1, 5}, policy, {1, 1, start}, start);
    const auto later = start + milliseconds(10'000);
    const auto grant = lend(account, policy, {"b", 5, 0, {}}, later);
    lend(account, policy, {"b", 0, 0, {{grant.id, 1, 3}}}, later);
    lend(account, policy, {"b", 0, 0, {{grant.id, 1, 3}}}, later);
    lend(account, policy, {"b", 0, 0, {{grant.id, 0, 2}}}, later);
    lend(account, policy, {"other", 0, 0, {{grant.id, 5, 0}}}, later);
    CHECK(account.tokens == doctest::Approx(3));
    CHECK(outstanding(account) == doctest::Approx(1));
}

TEST_CASE("a tenure breaks with a missed generation and begins with an accepted one") {
    const std::vector<home_period> waiting = {{4, false, true, start}, {5, true, false, {}}};
    CHECK_FALSE(find_tenure(waiting));
    const std::vector<home_period> held = {{5, true, true, start}, {6, true, false, {}}};
    REQUIRE(find_tenure(held));
    CHECK(find_tenure(held)->first_generation == 5);
    const std::vector<home_period> missed = {{5, true, true, start}, {7, true, false, {}}};
    CHECK_FALSE(find_tenure(missed));
    const std::vector<home_period> lost = {{5, true, true, start}, {6, false, true, start}};
    CHECK_FALSE(find_tenure(lost));
}

TEST_CASE("a change of members moves only the homes of the host that changed") {
    membership::generation all;
    for (const auto* name : {"a", "b", "c", "d"}) {
        membership::member host;
        host.name = name;
        all = membership::with_member(all, host);
    }
    const auto fewer = membership::without_member(all, "c", 0);
    for (int n = 0; n < 200; ++n) {
        const auto team = "team-" + std::to_string(n);
        const auto& before = home_of(team, all)->name;
        if (before != "c") {
            CHECK(home_of(team, fewer)->name == before);
        }
    }
    CHECK(home_of("x", membership::generation{}) == nullptr);
}

} // namespace lycheegap::allowance
