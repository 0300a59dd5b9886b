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

} // namespace lycheegap::traffic
