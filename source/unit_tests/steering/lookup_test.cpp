#include <algorithm>
#include <map>
#include <random>
#include <span>

#include <doctest/doctest.h>

#include "core/steering/lookup.h"

namespace lycheegap::steering {

namespace {

membership::generation fleet_of(int hosts, int regions, int domains) {
    membership::generation fleet;
    for (int n = 0; n < hosts; ++n) {
        membership::member host;
        host.name = "host-" + std::to_string(n);
        host.region = "region-" + std::to_string(n % regions);
        host.failure_domain = host.region + "-" + std::to_string(n / regions % domains);
        fleet = membership::with_member(fleet, host);
    }
    return fleet;
}

bool contains_region(std::span<const host_choice> answer, std::string_view region) {
    return std::any_of(answer.begin(), answer.end(),
                       [&](const host_choice& it) { return it.chosen->region == region; });
}

} // namespace

TEST_CASE("look-up: callers spread evenly and get a host outside their domain and their region") {
    const auto fleet = fleet_of(24, 3, 2);
    const caller_place place{"region-1", "region-1-0", ""};
    std::map<std::string, int> first_counts;
    for (std::uint64_t seed = 0; seed < 400; ++seed) {
        const auto answer = order_hosts(fleet, place, seed, 4);
        REQUIRE(answer.size() == 4);
        ++first_counts[answer[0].chosen->name];
        CHECK(answer[0].chosen->failure_domain == "region-1-0");
        CHECK(answer[2].chosen->failure_domain == "region-1-1");
        CHECK(answer[3].chosen->region != "region-1");
    }
    REQUIRE(first_counts.size() == count_nearest(fleet, place));
    for (const auto& [name, n] : first_counts) {
        CHECK(n == 100);
    }
}

TEST_CASE("look-up: hosts in the team's region precede those in other remote regions") {
    const auto fleet = fleet_of(24, 3, 2);
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        CHECK(order_hosts(fleet, {"", "", "region-2"}, seed, 4)[0].chosen->region == "region-2");
        CHECK(order_hosts(fleet, {"region-0", "", "region-2"}, seed, 4)[0].chosen->region == "region-0");
        CHECK(order_hosts(fleet, {"region-0", "", "region-2"}, seed, 4)[3].chosen->region == "region-2");
    }
}

TEST_CASE("look-up: an answer for a random fleet has no leaving and no duplicate hosts") {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        auto fleet = fleet_of(static_cast<int>(random() % 30), 1 + static_cast<int>(random() % 4), 2);
        for (auto& it : fleet.members) {
            it.leaving = random() % 3 == 0;
        }
        const auto staying = std::count_if(fleet.members.begin(), fleet.members.end(),
                                           [](const auto& it) { return !it.leaving; });
        const auto answer = order_hosts(fleet, {"region-1", "region-1-1", "region-0"}, random(), 4);
        CHECK(answer.size() == std::min<std::size_t>(4, static_cast<std::size_t>(staying)));
        for (std::size_t n = 0; n < answer.size(); ++n) {
            CHECK_FALSE(answer[n].chosen->leaving);
            for (std::size_t other = 0; other < n; ++other) {
                CHECK(answer[n].chosen != answer[other].chosen);
            }
        }
        if (answer.size() == 4 && contains_region(answer, "region-1")) {
            CHECK(answer[0].chosen->region == "region-1");
        }
    }
}

TEST_CASE("look-up: hosts are ordered by distance, and a short answer starts like a full one") {
    std::mt19937_64 random(11);
    for (int iteration = 0; iteration < 200; ++iteration) {
        const auto fleet = fleet_of(1 + static_cast<int>(random() % 60), 3, 2);
        const caller_place place{"region-1", "region-1-0", "region-2"};
        const auto seed = random();
        const auto full_order = order_hosts(fleet, place, seed, fleet.members.size());
        const auto distance_of = [&](const host_choice& it) {
            const bool in_region = it.chosen->region == "region-1";
            return it.chosen->failure_domain == "region-1-0" ? 0
                   : in_region                               ? 1
                   : it.chosen->region == "region-2"         ? 2
                                                             : 3;
        };
        CHECK(std::is_sorted(full_order.begin(), full_order.end(),
                             [&](const auto& a, const auto& b) { return distance_of(a) < distance_of(b); }));
        // The last two of four hosts are selected for being outside the domain and the region.
        const auto short_answer = order_hosts(fleet, place, seed, 4);
        for (std::size_t n = 0; n < std::min<std::size_t>(short_answer.size(), 2); ++n) {
            CHECK(short_answer[n].chosen == full_order[n].chosen);
        }
    }
}

} // namespace lycheegap::steering
