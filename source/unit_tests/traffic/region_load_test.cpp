#include "core/traffic/region_load.h"

#include <doctest/doctest.h>

namespace lycheegap::traffic {

namespace {

const common::time_point start{std::chrono::seconds(1000)};

/// Ten endpoints of ten slots in each of two regions, each in two failure domains.
endpoint_set make_set() {
    endpoint_set set;
    for (int n = 0; n < 20; ++n) {
        endpoint_entry made;
        made.id = "e" + std::to_string(n);
        made.service = "desk";
        made.address = "10.0.0.1:" + std::to_string(100 + n);
        made.region = n % 2 == 0 ? "coast" : "inland";
        made.domain = made.region + (n % 4 < 2 ? "-1" : "-2");
        made.slots = 10;
        put_endpoint(set, made, start);
    }
    return set;
}

load_report report_of(int running, int waiting) {
    load_report made;
    made.running = running;
    made.waiting = waiting;
    return made;
}

const std::vector<std::string> regions{"coast", "inland"};

region_load measure(const endpoint_set& set, common::time_point now = start) {
    return measure_regions(set, "desk", regions, 2, now);
}

} // namespace

TEST_SUITE("region_load") {
    TEST_CASE("the load of a region is estimated from the endpoints with a recent report") {
        auto set = make_set();
        CHECK(regions_of_service(set, "desk") == regions);
        note_report(*set.by_id["e0"], report_of(6, 0), start);
        note_report(*set.by_id["e2"], report_of(10, 4), start);
        set.by_id["e1"]->in_flight = 3;
        auto load = measure(set);
        CHECK(load.views[0].slots == 100);
        CHECK(load.views[0].used_slots == doctest::Approx(100));
        CHECK(load.reports[0] == 2);
        CHECK(load.reports[1] == 0);
        CHECK(load.own_requests == 3);
        load = measure(set, start + common::milliseconds{2500});
        CHECK(load.reports[0] == 0);
    }

    TEST_CASE("vacated, leaving and resting endpoints have no slots, cold ones few") {
        auto set = make_set();
        set_vacated(set, "coast-1", true, start, common::milliseconds{3000});
        CHECK(measure(set).views[0].slots == 50);
        note_leaving(*set.by_id["e2"]);
        note_rest(*set.by_id["e6"], common::milliseconds{1000}, start);
        CHECK(measure(set).views[0].slots == 30);
        set_vacated(set, "coast-1", false, start, common::milliseconds{3000});
        CHECK(measure(set).views[0].slots == 30 + 5 * 2);
        CHECK(measure(set, start + common::milliseconds{4000}).views[0].slots == 90);
    }

    TEST_CASE("a region whose endpoints all fail has no slots") {
        auto set = make_set();
        for (const auto* id : {"e0", "e2", "e4"}) {
            note_failure(*set.by_id[id], start);
        }
        CHECK(measure(set).views[0].slots == 0);
        note_report(*set.by_id["e6"], report_of(1, 0), start);
        CHECK(measure(set).views[0].slots == 100);
        CHECK(measure(set).views[1].slots == 100);
    }

    TEST_CASE("a region is available while a quarter of its slots is warm and in use") {
        auto set = make_set();
        CHECK(is_region_available(set, "desk", "coast", start));
        set_vacated(set, "coast-1", true, start, common::milliseconds{3000});
        CHECK(is_region_available(set, "desk", "coast", start));
        set_vacated(set, "coast-2", true, start, common::milliseconds{3000});
        CHECK_FALSE(is_region_available(set, "desk", "coast", start));
        set_vacated(set, "coast-2", false, start, common::milliseconds{3000});
        CHECK_FALSE(is_region_available(set, "desk", "coast", start));
        CHECK_FALSE(is_region_available(set, "desk", "north", start));
    }
}

} // namespace lycheegap::traffic
