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

TEST_CASE("a home account refills at its rate up to its burst") {
    auto account = open_account({10, 5}, {}, {1, 1, start}, start);
    account.unaccounted_tokens = 0;
    CHECK_FALSE(take_token(account, start));
    CHECK(take_token(account, start + milliseconds(101)));
    for (int n = 0; n < 5; ++n) {
        CHECK(take_token(account, start + milliseconds(10'000)));
    }
    CHECK_FALSE(take_token(account, start + milliseconds(10'000)));
    CHECK_FALSE(take_token(account, start));
}

TEST_CASE("a new home issues no tokens until the loans of the previous home have expired") {
    const loan_policy policy;
    auto account = open_account({1000, 5}, policy, {1, 1, start}, start);
    CHECK_FALSE(take_token(account, start + policy.length));
    CHECK(take_token(account, lender_deadline(start, policy.length) + milliseconds(2)));
}

TEST_CASE("lowering the burst scales down the bucket and the loans at once") {
    auto account = open_account({10, 5}, {}, {1, 1, start}, start);
    refill(account, start + milliseconds(10'000));
    set_limits(account, {10, 2}, start + milliseconds(10'000));
    CHECK(account.tokens == doctest::Approx(2));

    borrower_account borrower;
    apply_limits(borrower, {10, 10}, start);
    borrower.loans.push_back({1, 8, 0, 0, start + milliseconds(500)});
    apply_limits(borrower, {10, 5}, start);
    CHECK(held_tokens(borrower, start) == 4);
    CHECK(held_tokens(borrower, start + milliseconds(500)) == 0);
}

TEST_CASE("tokens on loan count against the burst until they are reported as spent or the loan expires") {
    const loan_policy policy;
    auto account = open_account({10, 5}, policy, {1, 1, start}, start);
    const auto later = start + milliseconds(10'000);
    const auto grant = lend(account, policy, {"b", 5, 0, {}}, later);
    CHECK(grant.tokens == 5);
    CHECK_FALSE(take_token(account, later + milliseconds(900)));
    lend(account, policy, {"b", 0, 0, {{grant.id, 5, 0}}}, later + milliseconds(900));
    CHECK(take_token(account, later + milliseconds(1010)));
}

TEST_CASE("repeated and late loan reports have no effect") {
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

TEST_CASE("a tenure becomes active with an accepted generation and ends with a missed one") {
    const std::vector<home_period> not_accepted = {{4, false, true, start}, {5, true, false, {}}};
    CHECK_FALSE(find_tenure(not_accepted));
    const std::vector<home_period> held = {{5, true, true, start}, {6, true, false, {}}};
    REQUIRE(find_tenure(held));
    CHECK(find_tenure(held)->first_generation == 5);
    const std::vector<home_period> missed = {{5, true, true, start}, {7, true, false, {}}};
    CHECK_FALSE(find_tenure(missed));
    const std::vector<home_period> lost = {{5, true, true, start}, {6, false, true, start}};
    CHECK_FALSE(find_tenure(lost));
}

TEST_CASE("removing a host moves only the teams whose home it was") {
    membership::generation all;
    for (const auto* name : {"a", "b", "c", "d"}) {
        membership::member host;
        host.name = name;
        all = membership::with_member(all, host);
    }
    const auto fewer = membership::without_member(all, "c", 0);
    for (int n = 0; n < 200; ++n) {
        const auto team = "team-" + std::to_string(n);
        const auto& before = find_home(team, all)->name;
        if (before != "c") {
            CHECK(find_home(team, fewer)->name == before);
        }
    }
    CHECK(find_home("x", membership::generation{}) == nullptr);
}

} // namespace lycheegap::allowance
