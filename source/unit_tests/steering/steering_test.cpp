#include <doctest/doctest.h>

#include "core/steering/endpoint_choice.h"
#include "core/steering/lookup.h"

namespace lycheegap::steering {

namespace {

const common::time_point start{common::milliseconds(1'000'000)};

membership::member host_in(const char* name, const char* region, const char* domain) {
    membership::member it;
    it.name = name;
    it.region = region;
    it.failure_domain = domain;
    return it;
}

} // namespace

TEST_CASE("near hosts come first and leaving hosts never") {
    membership::generation it;
    it = membership::with_member(it, host_in("far", "sjaelland", "sjaelland-1"));
    it = membership::with_member(it, host_in("near", "vestkyst", "vestkyst-2"));
    it = membership::with_member(it, host_in("own", "vestkyst", "vestkyst-1"));
    auto leaving = host_in("gone", "vestkyst", "vestkyst-1");
    leaving.leaving = true;
    it = membership::with_member(it, leaving);
    const auto answer = order_hosts(it, {"vestkyst", "vestkyst-1", ""}, 7, 4);
    REQUIRE(answer.size() == 3);
    CHECK(answer[0].chosen->name == "own");
    CHECK(answer[1].chosen->name == "near");
    CHECK(answer[2].chosen->name == "far");
    CHECK(order_hosts(it, {"vestkyst", "vestkyst-1", ""}, 7, 1).size() == 1);
}

TEST_CASE("an endpoint that is full, leaving, avoided or tried is not chosen") {
    random_engine random(1);
    std::vector<endpoint_state> all(2);
    all[0].address = "a";
    all[1].address = "b";
    all[0].in_flight = 1;
    CHECK(choose_endpoint(all, "", "", start, random) == 1);
    all[1].leaving = true;
    CHECK_FALSE(choose_endpoint(all, "", "", start, random));
    all[1].leaving = false;
    all[1].avoid_until = start + common::milliseconds(1);
    CHECK_FALSE(choose_endpoint(all, "", "", start, random));
    CHECK(choose_endpoint(all, "", "", start + common::milliseconds(1), random) == 1);
    CHECK_FALSE(choose_endpoint(all, "", "b", start + common::milliseconds(1), random));
}

} // namespace lycheegap::steering
