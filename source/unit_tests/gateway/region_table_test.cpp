#include "core/gateway/region_table.h"

#include <doctest/doctest.h>

namespace lycheegap::gateway {

namespace {

constexpr int endpoint_count = 72;
const std::vector<std::string> region_names{"east", "middle", "west"};

std::unique_ptr<gateway_state> make_state(double region_shift, int endpoints = endpoint_count) {
    gateway_options options;
    options.host = "host-0";
    options.region = "east";
    options.region_shift = region_shift;
    auto state = std::make_unique<gateway_state>(options);
    auto config = std::make_shared<traffic::configuration>();
    config->version = 1;
    config->services["desk"].name = "desk";
    apply_configuration(*state, config);
    for (int n = 0; n < endpoints; ++n) {
        traffic::endpoint_entry made;
        made.id = "e" + std::to_string(n);
        made.service = "desk";
        made.address = "10.0.0.1:" + std::to_string(1000 + n);
        made.region = region_names[static_cast<std::size_t>(n) % region_names.size()];
        made.domain = made.region + "-1";
        made.slots = 9;
        apply_endpoint(*state, made);
    }
    for (int n = 0; n < 6; ++n) {
        traffic::fleet_member member;
        member.name = "host-" + std::to_string(n);
        member.region = region_names[static_cast<std::size_t>(n) % region_names.size()];
        apply_member(*state, member);
    }
    return state;
}

/// Makes the next update decide at once.
void decide(gateway_state& state) {
    state.regions.next_decision = {};
    update_regions(state);
}

} // namespace

TEST_SUITE("region_table") {
    TEST_CASE("a service is divided only where the settings state a bound and it has enough endpoints") {
        const auto bounded = make_state(0.15);
        decide(*bounded);
        CHECK(select_region(*bounded, "desk", "object", {}) == "east");
        const auto unbounded = make_state(0);
        decide(*unbounded);
        CHECK(select_region(*unbounded, "desk", "object", {}).empty());
        const auto small = make_state(0.15, 20);
        decide(*small);
        CHECK(select_region(*small, "desk", "object", {}).empty());
    }

    TEST_CASE("a request runs in a region that may serve it") {
        const auto state = make_state(0.15);
        decide(*state);
        const std::vector<std::string> west{"west"};
        CHECK(select_region(*state, "desk", "object", west) == "west");
        CHECK(select_region(*state, "desk", {}, west) == "west");
    }

    TEST_CASE("few requests leave a region that has no room, all leave one that is vacated") {
        const auto state = make_state(0.15);
        decide(*state);
        int left = 0;
        for (int n = 0; n < 200; ++n) {
            select_region(*state, "desk", "object-" + std::to_string(n), {});
            left += may_leave_region(*state, "desk", "east") ? 1 : 0;
        }
        CHECK(left <= 0.03 * 200);
        set_domain_vacated(*state, "east-1", true);
        CHECK(may_leave_region(*state, "desk", "east"));
        decide(*state);
        CHECK(select_region(*state, "desk", "object", {}) != "east");
        set_domain_vacated(*state, "east-1", false);
        decide(*state);
        CHECK(state->regions.services["desk"].split.shares[0] < 0.15);
    }
}

} // namespace lycheegap::gateway
