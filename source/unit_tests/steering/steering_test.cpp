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

TEST_CASE("look-up answers put near hosts first and exclude leaving hosts") {
    membership::generation fleet;
    fleet = membership::with_member(fleet, host_in("far", "sjaelland", "sjaelland-1"));
    fleet = membership::with_member(fleet, host_in("near", "vestkyst", "vestkyst-2"));
    fleet = membership::with_member(fleet, host_in("own", "vestkyst", "vestkyst-1"));
    auto leaving = host_in("gone", "vestkyst", "vestkyst-1");
    leaving.leaving = true;
    fleet = membership::with_member(fleet, leaving);
    const auto answer = order_hosts(fleet, {"vestkyst", "vestkyst-1", ""}, 7, 4);
    REQUIRE(answer.size() == 3);
    CHECK(answer[0].chosen->name == "own");
    CHECK(answer[1].chosen->name == "near");
    CHECK(answer[2].chosen->name == "far");
    CHECK(order_hosts(fleet, {"vestkyst", "vestkyst-1", ""}, 7, 1).size() == 1);
}

TEST_CASE("an endpoint that is full, draining, avoided or already tried is not chosen") {
    random_engine random(1);
    std::vector<endpoint_state> endpoints(2);
    endpoints[0].address = "a";
    endpoints[1].address = "b";
    endpoints[0].in_flight = 1;
    CHECK(choose_endpoint(endpoints, "", "", start, random) == 1);
    endpoints[1].draining = true;
    CHECK_FALSE(choose_endpoint(endpoints, "", "", start, random));
    endpoints[1].draining = false;
    endpoints[1].avoid_until = start + common::milliseconds(1);
    CHECK_FALSE(choose_endpoint(endpoints, "", "", start, random));
    CHECK(choose_endpoint(endpoints, "", "", start + common::milliseconds(1), random) == 1);
    CHECK_FALSE(choose_endpoint(endpoints, "", "b", start + common::milliseconds(1), random));
}

} // namespace lycheegap::steering
