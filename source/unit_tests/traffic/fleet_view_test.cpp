#include "core/traffic/fleet_view.h"

#include <doctest/doctest.h>

#include "core/traffic/retry_share.h"
#include "virtual_time.h"

namespace lycheegap::traffic {

namespace {

using common::milliseconds;

fleet_member member_named(const std::string& name) {
    fleet_member made;
    made.name = name;
    made.region = "coast";
    made.domain = "north";
    made.request_address = name + ":1";
    return made;
}

retry_limit limit_shared_by(std::size_t hosts) {
    return {.ratio = 0.2, .slack = 100, .window = milliseconds(10'000), .hosts = hosts};
}

int count_allowed_retries(std::size_t hosts) {
    retry_share share;
    int taken = 0;
    while (take_retry(share, limit_shared_by(hosts), model_start)) {
        ++taken;
    }
    return taken;
}

} // namespace

TEST_CASE("hosts that left lately still count among those that share a limit") {
    fleet_view view;
    CHECK(sharing_hosts(view) == 0);
    for (int n = 0; n < 4; ++n) {
        add_member(view, member_named("host-" + std::to_string(n)), "host-0", model_start);
    }
    CHECK(sharing_hosts(view) == 4);
    // Their entries expire together, as after an outage of the store.
    for (int n = 1; n < 4; ++n) {
        CHECK(remove_member(view, "host-" + std::to_string(n), "host-0", model_start));
    }
    CHECK(view.names.size() == 1);
    CHECK(sharing_hosts(view) == 4);
    add_member(view, member_named("host-1"), "host-0", model_start);
    CHECK(sharing_hosts(view) == 4);
    CHECK_FALSE(forget_former(view, model_start + handover_time - milliseconds(1)));
    CHECK(forget_former(view, model_start + handover_time));
    CHECK(sharing_hosts(view) == 2);
    // A host that is not a member has no share.
    remove_member(view, "host-0", "host-0", model_start);
    CHECK(sharing_hosts(view) == 0);
}

TEST_CASE("a host that is not a member has no share of the retry slack") {
    CHECK(count_allowed_retries(0) == 0);
    CHECK(count_allowed_retries(1) == 80);
    CHECK(count_allowed_retries(25) == 3);
}

// Guards against a host that comes back unseen because nobody remembers where it was.
TEST_CASE("hosts that left are remembered for a while with their addresses, and no more than some") {
    fleet_view view;
    add_member(view, member_named("a"), "a", model_start);
    add_member(view, member_named("b"), "a", model_start);
    remove_member(view, "b", "a", model_start);
    REQUIRE(view.departed.size() == 1);
    CHECK(view.departed[0].entry.request_address == "b:1");
    CHECK(forget_former(view, model_start + handover_time));
    CHECK(view.departed.size() == 1);
    CHECK(has_expired_former(view, model_start + departed_time));
    CHECK(forget_former(view, model_start + departed_time));
    CHECK(view.departed.empty());
    // A host that is back has not departed, and neither has the own one.
    remove_member(view, "a", "a", model_start);
    CHECK(view.departed.empty());
    for (std::size_t n = 0; n < max_departed_hosts + 2; ++n) {
        const auto name = "h" + std::to_string(n);
        add_member(view, member_named(name), "a", model_start);
        remove_member(view, name, "a", model_start);
    }
    REQUIRE(view.departed.size() == max_departed_hosts);
    CHECK(view.departed.front().entry.name == "h2");
    add_member(view, member_named("h2"), "a", model_start);
    CHECK(view.departed.front().entry.name == "h3");
}

} // namespace lycheegap::traffic
