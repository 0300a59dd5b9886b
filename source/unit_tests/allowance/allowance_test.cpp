#include <doctest/doctest.h>

#include "core/allowance/home.h"
#include "core/allowance/token_bucket.h"

namespace lycheegap::allowance {

namespace {

using common::milliseconds;
using common::time_point;

const time_point start{milliseconds(1'000'000)};

} // namespace

TEST_CASE("a bucket fills with its rate up to its burst") {
    auto bucket = make_empty_bucket(10, 5, start);
    CHECK_FALSE(take(bucket, 1, start));
    CHECK(take(bucket, 1, start + milliseconds(100)));
    CHECK(take(bucket, 5, start + milliseconds(10'000)));
    CHECK_FALSE(take(bucket, 1, start + milliseconds(10'000)));
    CHECK_FALSE(take(bucket, 1, start));
}

TEST_CASE("a smaller burst drops tokens at once") {
    auto bucket = make_empty_bucket(10, 5, start);
    refill(bucket, start + milliseconds(1000));
    set_limits(bucket, 10, 2, start + milliseconds(1000));
    CHECK(bucket.tokens == doctest::Approx(2));
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
