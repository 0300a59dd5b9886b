#include "core/traffic/placement_by_work.h"

#include <cmath>
#include <set>

#include <doctest/doctest.h>

#include "core/traffic/remaining_work.h"
#include "placement_model.h"
#include "virtual_time.h"

namespace lycheegap::traffic {

namespace {

using common::milliseconds;

const auto start = model_start;

endpoint_set make_set(int per_region) {
    endpoint_set set;
    for (int n = 0; n < per_region * 2; ++n) {
        endpoint_entry made;
        made.id = "e" + std::to_string(n);
        made.service = "desk";
        made.address = made.id;
        made.region = n % 2 == 0 ? "coast" : "inland";
        made.slots = 6;
        put_endpoint(set, made, start);
    }
    return set;
}

placement_request make_request(std::string_view object) {
    placement_request made;
    made.service = "desk";
    made.object_key = object;
    made.region = "coast";
    made.route = "read";
    made.target_latency = milliseconds(1000);
    return made;
}

void fill(endpoint_state& endpoint, int waiting) {
    const load_report report{6, waiting, 6, {}};
    note_report(endpoint, report, start);
    note_reported_work(endpoint, report, start);
}

/// Regions of unequal room under a wave of load, with machines that slow down for moments. The second
/// region's room suffices for 170 requests per second.
model_options uneven_regions(std::uint64_t seed, placement_rule rule, double second_rate) {
    model_options made;
    made.seed = seed;
    made.rule = rule;
    made.regions = {{58, 330}, {12, second_rate}, {49, 330}};
    made.hosts_per_region = 6;
    made.objects = 160;
    made.slow_share = 0.15;
    made.seconds = 14;
    made.rate_factor = [](double s) { return 1 + 0.5 * std::sin(s * 0.45); };
    return made;
}

} // namespace

TEST_CASE("the rule follows the number of endpoints in each region") {
    CHECK(rule_for(make_set(2), "desk") == placement_rule::by_load);
    CHECK(rule_for(make_set(8), "desk") == placement_rule::by_work);
    CHECK(rule_for(make_set(8), "unknown") == placement_rule::by_load);
}

TEST_CASE("requests for an object stay in their region, at the same endpoint from every host") {
    auto set = make_set(8);
    work_costs costs;
    for (int object = 0; object < 30; ++object) {
        const auto key = std::to_string(object);
        auto request = make_request(key);
        const auto first = place_by_work(set, costs, request, start);
        request.knowledge.host = "other";
        work_costs other;
        const auto second = place_by_work(set, other, request, start);
        REQUIRE(first.endpoint != nullptr);
        CHECK(first.endpoint == second.endpoint);
        CHECK(first.rank == 0);
        CHECK(first.endpoint->entry.region == "coast");
        request.target_region = "inland";
        CHECK(place_by_work(set, costs, request, start).endpoint->entry.region == "inland");
    }
}

TEST_CASE("a full endpoint is passed over, and a full region, until no answer would come in time") {
    auto set = make_set(8);
    work_costs costs;
    const auto request = make_request("object");
    const auto first = place_by_work(set, costs, request, start);
    fill(*first.endpoint, 12);
    const auto second = place_by_work(set, costs, request, start);
    REQUIRE(second.endpoint != nullptr);
    CHECK(second.endpoint != first.endpoint);
    CHECK(second.endpoint->entry.region == "coast");
    for (const auto& [id, it] : set.by_id) {
        if (it->entry.region == "coast") {
            fill(*it, 24);
        }
    }
    const auto other_region = place_by_work(set, costs, request, start);
    REQUIRE(other_region.endpoint != nullptr);
    CHECK(other_region.endpoint->entry.region == "inland");
    for (const auto& [id, it] : set.by_id) {
        fill(*it, 24);
    }
    CHECK(place_by_work(set, costs, request, start).endpoint == nullptr);
    // Reports age; the load is believed to persist only while reports say so.
    const std::vector<std::string> only_inland = {"inland"};
    auto restricted = make_request("object");
    restricted.regions = only_inland;
    for (const auto& [id, it] : set.by_id) {
        it->external.reset();
        it->group->external = 0;
    }
    CHECK(place_by_work(set, costs, restricted, start).endpoint->entry.region == "inland");
}

TEST_CASE("the remaining work follows what was expected and has a floor") {
    auto set = make_set(1);
    auto& endpoint = *set.by_id["e0"];
    const auto id = begin_work(endpoint, start, {400, 400, 1, 100});
    CHECK(own_remaining_ms(endpoint, start) == doctest::Approx(400));
    CHECK(own_remaining_ms(endpoint, start + milliseconds(150)) == doctest::Approx(250));
    CHECK(own_remaining_ms(endpoint, start + milliseconds(5000)) >= 50);
    end_work(endpoint, id);
    CHECK(own_remaining_ms(endpoint, start) == 0);
}

TEST_CASE("a reported pace counts for a fraction of a second") {
    auto set = make_set(1);
    auto& endpoint = *set.by_id["e0"];
    note_reported_work(endpoint, {1, 0, 6, 2.5}, start);
    CHECK(pace_of(endpoint, start) == doctest::Approx(2.5));
    CHECK(pace_of(endpoint, start + milliseconds(400)) < 1.7);
    CHECK(pace_of(endpoint, start + milliseconds(3000)) == doctest::Approx(1));
}

TEST_CASE("with uneven regions and slow moments more is in time than by load, and less crosses regions") {
    for (const std::uint64_t seed : {1, 2}) {
        const auto by_work = run_placement_model(uneven_regions(seed, placement_rule::by_work, 330));
        const auto by_load = run_placement_model(uneven_regions(seed, placement_rule::by_load, 330));
        CAPTURE(seed);
        CAPTURE(by_work.requests);
        CHECK(by_work.requests == by_load.requests);
        CHECK(by_work.in_time > by_load.in_time);
        CHECK(by_work.crossed < by_load.crossed);
        CHECK(by_work.cached > by_work.uncached * 9);
    }
}

TEST_CASE("where each region has room for its callers, few requests cross") {
    const auto by_work = run_placement_model(uneven_regions(3, placement_rule::by_work, 80));
    const auto by_load = run_placement_model(uneven_regions(3, placement_rule::by_load, 80));
    CAPTURE(by_work.in_time);
    CAPTURE(by_load.in_time);
    CHECK(by_work.crossed < by_work.requests / 10);
    CHECK(by_load.crossed > by_load.requests / 3);
    CHECK(by_work.in_time > by_work.requests * 8 / 10);
}

TEST_CASE("an endpoint that has become slow gets less, also if its reports do not say so") {
    auto options = uneven_regions(4, placement_rule::by_work, 80);
    options.slow_endpoint = 3;
    options.slow_share = 0;
    options.slow_factor = 5;
    options.reports_pace = false;
    const auto slow = run_placement_model(options);
    options.slow_factor = 1;
    const auto usual = run_placement_model(options);
    CHECK(slow.at_slow_endpoint < usual.at_slow_endpoint);
    CHECK(slow.in_time > slow.requests * 8 / 10);
}

TEST_CASE("a burst of a multiple of the load leaves most requests in time") {
    auto options = uneven_regions(5, placement_rule::by_work, 80);
    options.rate_factor = [](double s) { return s > 7 && s < 9 ? 2.4 : 0.7; };
    const auto by_work = run_placement_model(options);
    options.rule = placement_rule::by_load;
    const auto by_load = run_placement_model(options);
    CAPTURE(by_work.requests);
    CHECK(by_work.in_time > by_load.in_time);
    CHECK(by_work.shed <= by_load.shed);
}

} // namespace lycheegap::traffic
