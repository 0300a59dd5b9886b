#include "core/traffic/region_routing.h"

#include <cmath>
#include <numbers>

#include <doctest/doctest.h>

#include "core/traffic/placement.h"
#include "region_model.h"

// Plays a service whose endpoints are divided unevenly over three regions while the callers are not, with
// demand that rises and falls in waves, and failure domains that are vacated and come back. The former
// decision, which ranks an object's endpoints over the whole fleet, sends more requests to other regions and
// moves more of them at once.
namespace lycheegap::traffic {

namespace {

constexpr double max_shift = 0.15;
constexpr std::size_t host_count = 36;
constexpr std::size_t object_count = 300;
constexpr region_counts slots{1044, 216, 882};
constexpr double mean_demand = 330;

/// Demand of each region's callers in a wave of 36 s, at different phases.
region_demand wave_at(int second, double mean = mean_demand) {
    region_demand demand{};
    for (std::size_t n = 0; n < model_regions; ++n) {
        const double phase = static_cast<double>(second) / 36 + static_cast<double>(n) / model_regions;
        demand[n] = mean * (1 + 0.55 * std::sin(2 * std::numbers::pi * phase));
    }
    return demand;
}

using played_seconds = std::vector<std::array<region_counts, model_regions>>;

/// Fraction of the requests that run in another region than their callers'.
double crossing_fraction(const played_seconds& seconds) {
    double all = 0;
    double crossing = 0;
    for (const auto& second : seconds) {
        for (std::size_t callers = 0; callers < model_regions; ++callers) {
            for (std::size_t region = 0; region < model_regions; ++region) {
                all += second[callers][region];
                crossing += region == callers ? 0 : second[callers][region];
            }
        }
    }
    return crossing / all;
}

/// Endpoints in two failure domains a region, with as many slots as the model's regions.
endpoint_set make_endpoints(const region_model& model) {
    constexpr int slots_per_endpoint = 9;
    endpoint_set set;
    for (std::size_t region = 0; region < model_regions; ++region) {
        for (int n = 0; n < static_cast<int>(slots[region]) / slots_per_endpoint; ++n) {
            endpoint_entry made;
            made.id = model.names[region] + "-" + std::to_string(n);
            made.service = "desk";
            made.address = made.id;
            made.region = model.names[region];
            made.domain = made.region + (n % 2 == 0 ? "-a" : "-b");
            made.slots = slots_per_endpoint;
            put_endpoint(set, made, model.now);
        }
    }
    return set;
}

/// Regions in which all objects run for the callers of a region by the fleet's order of each object's
/// endpoints.
region_counts place_in_fleet_order(const region_model& model, endpoint_set& set, std::size_t callers) {
    region_counts ran{};
    work_costs costs;
    for (const auto& object : model.objects) {
        placement_request wanted;
        wanted.rule = placement_rule::by_load;
        wanted.service = "desk";
        wanted.object_key = object;
        wanted.region = model.names[callers];
        const auto placed = place_request(set, costs, wanted, model.now);
        REQUIRE(placed.endpoint);
        for (std::size_t n = 0; n < model_regions; ++n) {
            ran[n] += placed.endpoint->entry.region == model.names[n] ? 1 : 0;
        }
    }
    return ran;
}

} // namespace

TEST_SUITE("region_shift") {
    TEST_CASE("the shares of all hosts move within the bound while demand rises and falls") {
        auto model = make_region_model(host_count, object_count, slots, max_shift);
        played_seconds seconds;
        double most_load = 0;
        for (int n = 0; n < 108; ++n) {
            seconds.push_back(run_second(model, wave_at(n)));
            most_load = n < 20 ? 0 : std::max(most_load, model.used[1] / model.slots[1]);
        }
        CHECK(largest_shift(seconds) <= max_shift);
        CHECK(most_load < 1);
        auto set = make_endpoints(model);
        double former = 0;
        for (std::size_t callers = 0; callers < model_regions; ++callers) {
            const auto ran = place_in_fleet_order(model, set, callers);
            former += (1 - ran[callers] / static_cast<double>(object_count)) / model_regions;
        }
        MESSAGE("crossing: " << crossing_fraction(seconds) << ", in the fleet's order: " << former
                             << "; largest shift " << largest_shift(seconds) << ", load " << most_load);
        CHECK(crossing_fraction(seconds) < former);
    }

    TEST_CASE("a domain that is vacated and comes back moves no more than the bound") {
        for (std::size_t vacated = 0; vacated < model_regions; ++vacated) {
            CAPTURE(vacated);
            auto model = make_region_model(host_count, object_count, slots, max_shift);
            played_seconds seconds;
            for (int n = 0; n < 80; ++n) {
                // One of the region's two failure domains is vacated, and taken back.
                model.slots[vacated] = n >= 30 && n < 45 ? slots[vacated] / 2 : slots[vacated];
                seconds.push_back(run_second(model, wave_at(n)));
            }
            CHECK(largest_shift(seconds) <= max_shift);
        }
        auto model = make_region_model(host_count, object_count, slots, max_shift);
        auto set = make_endpoints(model);
        const auto before = place_in_fleet_order(model, set, 0);
        set_vacated(set, "east-a", true, model.now, common::milliseconds{3000});
        const double former = changed_fraction(before, place_in_fleet_order(model, set, 0));
        MESSAGE("in the fleet's order " << former << " change their region at once");
        CHECK(former > max_shift);
    }

    TEST_CASE("a region that can't serve is left at once, and gets its requests back within the bound") {
        auto model = make_region_model(host_count, object_count, slots, max_shift);
        const region_demand demand{200, 100, 200};
        for (int n = 0; n < 10; ++n) {
            run_second(model, demand);
        }
        model.slots[2] = 0;
        run_second(model, demand);
        CHECK(run_second(model, demand)[2][2] == 0);
        played_seconds after;
        model.slots[2] = slots[2];
        for (int n = 0; n < 120; ++n) {
            after.push_back(run_second(model, demand));
        }
        CHECK(largest_shift(after) <= max_shift);
        CHECK(after.back()[2][2] > 0.9 * demand[2]);
    }

    TEST_CASE("under constant demand the shares settle") {
        for (const double mean : {100.0, 200.0, 300.0, 400.0}) {
            CAPTURE(mean);
            auto model = make_region_model(host_count, object_count, slots, max_shift);
            played_seconds seconds;
            for (int n = 0; n < 120; ++n) {
                seconds.push_back(run_second(model, {mean, mean, mean}));
            }
            const std::span settled(seconds.begin() + 60, seconds.end());
            CHECK(largest_shift(settled) < max_shift / 5);
            CHECK(model.used[1] / model.slots[1] < 0.85);
        }
    }
}

TEST_SUITE("region_routing") {
    TEST_CASE("hosts choose the same region for nearly all objects, in proportion to the shares") {
        auto model = make_region_model(host_count, 2000, slots, max_shift);
        auto& a = model.hosts[1];
        auto& b = model.hosts[4];
        REQUIRE(a.region == b.region);
        int same = 0;
        int home = 0;
        for (const auto& object : model.objects) {
            const auto chosen = choose_region(a.routing, {a.name, "middle", {}}, object, {});
            same += chosen == choose_region(b.routing, {b.name, "middle", {}}, object, {}) ? 1 : 0;
            home += chosen == "middle" ? 1 : 0;
        }
        CHECK(same > 1900);
        CHECK(home / 2000.0 == doctest::Approx(a.routing.split.shares[1]).epsilon(0.1));
    }

    TEST_CASE("a changed share moves only about that part of the objects") {
        auto model = make_region_model(host_count, 2000, slots, max_shift);
        auto& it = model.hosts[1];
        const region_position position{it.name, "middle", {}};
        std::vector<std::string> before;
        for (const auto& object : model.objects) {
            before.emplace_back(choose_region(it.routing, position, object, {}));
        }
        it.routing.split.shares[1] -= 0.05;
        it.routing.split.shares[0] += 0.05;
        int moved = 0;
        for (std::size_t n = 0; n < model.objects.size(); ++n) {
            moved += before[n] == choose_region(it.routing, position, model.objects[n], {}) ? 0 : 1;
        }
        CHECK(moved > 0.03 * 2000);
        CHECK(moved < 0.07 * 2000);
    }

    TEST_CASE("requests run only in regions that may serve them") {
        auto model = make_region_model(host_count, object_count, slots, max_shift);
        auto& it = model.hosts[0];
        const region_position position{it.name, "east", {}};
        const std::vector<std::string> west{"west"};
        const std::vector<std::string> others{"middle", "west"};
        const std::vector<std::string> unknown{"north"};
        for (const auto& object : model.objects) {
            CHECK(choose_region(it.routing, position, object, west) == "west");
            CHECK(choose_region(it.routing, position, object, others) != "east");
            CHECK(choose_region(it.routing, position, {}, others) != "east");
            CHECK(choose_region(it.routing, position, object, unknown).empty());
        }
    }

    TEST_CASE("requests without an object follow the shares exactly") {
        auto model = make_region_model(host_count, object_count, slots, max_shift);
        auto& it = model.hosts[1];
        int home = 0;
        for (int n = 0; n < 100; ++n) {
            home += choose_region(it.routing, {it.name, "middle", {}}, {}, {}) == "middle" ? 1 : 0;
        }
        CHECK(std::abs(home - 100 * it.routing.split.shares[1]) <= 2);
    }

    TEST_CASE("a new region gets no share at once") {
        auto model = make_region_model(host_count, object_count, slots, max_shift);
        auto& routing = model.hosts[0].routing;
        const auto shares = routing.split.shares;
        add_regions(routing, std::vector<std::string>{"inland"});
        REQUIRE(routing.regions == std::vector<std::string>{"east", "inland", "middle", "west"});
        CHECK(routing.split.shares == std::vector<double>{shares[0], 0, shares[1], shares[2]});
    }

    TEST_CASE("few requests fall back to other regions") {
        const auto limits = limits_for(max_shift);
        fallback_budget budget;
        int taken = 0;
        for (int n = 0; n < 1000; ++n) {
            note_routed(budget, limits);
            taken += take_fallback(budget) ? 1 : 0;
        }
        CHECK(taken <= 0.03 * 1000);
        CHECK(taken >= 29);
    }

    TEST_CASE("services with few endpoints or one region are not divided") {
        CHECK_FALSE(should_divide(20, 3, false));
        CHECK_FALSE(should_divide(100, 1, false));
        CHECK(should_divide(36, 3, false));
        CHECK(should_divide(30, 3, true));
        CHECK_FALSE(should_divide(23, 3, true));
    }
}

} // namespace lycheegap::traffic
