#include <thread>

#include <doctest/doctest.h>

#include "core/gateway/gateway_state.h"

namespace lycheegap::gateway {

namespace {

using common::milliseconds;

traffic::fleet_member member_named(const std::string& name) {
    traffic::fleet_member made;
    made.name = name;
    return made;
}

std::size_t member_count(gateway_state& state) {
    return current_fleet(state)->members.size();
}

} // namespace

TEST_CASE("hosts whose leases ran out in an outage stay members until they had time to register again") {
    gateway_options options;
    options.host = "host-1";
    gateway_state state(options);
    apply_members(
        state,
        {{"host-1", member_named("host-1")}, {"back", member_named("back")}, {"gone", member_named("gone")}},
        {});
    REQUIRE(member_count(state) == 3);
    const auto due = common::monotonic::now() + milliseconds(400);
    apply_members(state, {{"host-1", std::nullopt}, {"back", std::nullopt}, {"gone", std::nullopt}}, due);
    expire_members(state);
    CHECK(member_count(state) == 3);
    apply_members(state, {{"host-1", member_named("host-1")}, {"back", member_named("back")}}, due);
    std::this_thread::sleep_until(due + milliseconds(10));
    expire_members(state);
    CHECK(member_count(state) == 2);
    CHECK_FALSE(current_fleet(state)->members.contains("gone"));
    CHECK(current_fleet(state)->member_since.has_value());
    CHECK(current_fleet(state)->former.size() == 1);
    // Without an outage, a host that leaves is removed at once.
    apply_members(state, {{"back", std::nullopt}}, {});
    CHECK(member_count(state) == 1);
}

} // namespace lycheegap::gateway
