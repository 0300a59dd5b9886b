#include "core/traffic/placement.h"

#include <map>
#include <set>

#include <doctest/doctest.h>

namespace lycheegap::traffic {

namespace {

using common::milliseconds;

const common::time_point start{std::chrono::seconds(1000)};

endpoint_set make_set(int endpoints, int slots = 6) {
    endpoint_set set;
    for (int n = 0; n < endpoints; ++n) {
        endpoint_entry made;
        made.id = "e" + std::to_string(n);
        made.service = "desk";
        made.address = "10.0.0.1:" + std::to_string(100 + n);
        made.region = n % 2 == 0 ? "coast" : "inland";
        made.domain = made.region + "-1";
        made.slots = slots;
        put_endpoint(set, made, start);
    }
    return set;
}

std::vector<std::string> host_names(int hosts) {
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(hosts));
    for (int n = 0; n < hosts; ++n) {
        names.push_back("host-" + std::to_string(n));
    }
    return names;
}

placement_request request(std::string_view object, std::string_view region = "coast") {
    placement_request made;
    made.service = "desk";
    made.object = object;
    made.region = region;
    return made;
}

} // namespace

TEST_CASE("requests for one object go to the same two endpoints on every host") {
    std::map<std::string, std::set<std::string>> seen;
    for (const auto* region : {"coast", "inland"}) {
        auto set = make_set(12);
        for (int n = 0; n < 40; ++n) {
            const auto object = std::to_string(n);
            seen[object].insert(place_request(set, request(object, region), start)->entry.id);
        }
    }
    std::set<std::string> used;
    for (const auto& [object, ids] : seen) {
        CHECK(ids.size() <= 2);
        used.insert(ids.begin(), ids.end());
    }
    CHECK(used.size() >= 10);
}

TEST_CASE(
    "a crowded endpoint gives way to the second one, and cold work goes only where there is room to spare") {
    auto set = make_set(6);
    const auto first = place_request(set, request("object"), start);
    first->in_flight = 6;
    const auto second = place_request(set, request("object"), start);
    CHECK(second != first);
    second->in_flight = 6;
    // Both are full: a short wait at a warm one is better than cold work.
    const auto third = place_request(set, request("object"), start);
    CHECK((third == first || third == second));
    first->in_flight = 9;
    second->in_flight = 9;
    const auto cold = place_request(set, request("object"), start);
    REQUIRE(cold);
    CHECK(cold != first);
    CHECK(cold != second);
    for (const auto& [id, it] : set.by_id) {
        it->in_flight = 9;
    }
    CHECK(place_request(set, request("object"), start) == nullptr);
}

TEST_CASE("what was tried, what may not be used and what is avoided stays out") {
    auto set = make_set(4);
    const std::vector<std::string> regions = {"inland"};
    auto wanted = request("object");
    wanted.regions = regions;
    const auto allowed = place_request(set, wanted, start);
    CHECK(allowed->entry.region == "inland");
    const std::vector<std::string> tried = {allowed->entry.id};
    wanted.tried = tried;
    const auto other = place_request(set, wanted, start);
    REQUIRE(other);
    CHECK(other != allowed);
    CHECK(other->entry.region == "inland");
    note_failure(*other, start);
    wanted.tried = {};
    CHECK(place_request(set, wanted, start) == allowed);
}

TEST_CASE("all hosts together keep a cold endpoint's limit in every second") {
    const auto hosts = host_names(25);
    const double limit = 6 * 1.5 + 5;
    std::vector<endpoint_set> sets;
    for (std::size_t n = 0; n < hosts.size(); ++n) {
        sets.push_back(make_set(1));
        sets.back().by_id["e0"]->cold.until = start + milliseconds(5000);
    }
    int sent = 0;
    for (int ms = 0; ms < 1000; ms += 10) {
        for (std::size_t n = 0; n < hosts.size(); ++n) {
            auto wanted = request("object");
            wanted.hosts = hosts;
            wanted.host = hosts[n];
            wanted.cold_limit = limit;
            sent += place_request(sets[n], wanted, start + milliseconds(ms)) != nullptr ? 1 : 0;
        }
    }
    CHECK(sent > 0);
    CHECK(sent <= limit);
}

TEST_CASE("hosts that see no fleet do not each take a part of a cold endpoint's limit") {
    const double limit = 6 * 1.5 + 5;
    int sent = 0;
    for (const auto& host : host_names(25)) {
        auto set = make_set(1);
        set.by_id["e0"]->cold.until = start + milliseconds(5000);
        for (int ms = 0; ms < 1000; ms += 10) {
            auto wanted = request("object");
            wanted.host = host;
            wanted.cold_limit = limit;
            sent += place_request(set, wanted, start + milliseconds(ms)) != nullptr ? 1 : 0;
        }
    }
    CHECK(sent <= limit);
}

TEST_CASE("without an object the least loaded endpoint is taken") {
    auto set = make_set(3);
    set.by_id["e0"]->in_flight = 2;
    set.by_id["e1"]->in_flight = 1;
    CHECK(place_request(set, request(""), start)->entry.id == "e2");
}

TEST_CASE("an endpoint that answers nothing gets little more work until it is heard again") {
    auto set = make_set(8);
    auto wanted = request("7");
    wanted.target_latency = milliseconds(400);
    const auto first = place_request(set, wanted, start);
    note_sent(*first, start);
    // A slow answer is no silence yet.
    CHECK(place_request(set, wanted, start + milliseconds(1100)) == first);
    const auto late = start + milliseconds(1300);
    const auto second = place_request(set, wanted, late);
    REQUIRE(second != first);
    // A route on which answers take longer is more patient.
    auto patient = wanted;
    patient.target_latency = milliseconds(1200);
    CHECK(place_request(set, patient, late) == first);
    // Any answer ends the silence, also while other requests are out.
    note_sent(*first, late);
    note_ended(*first, true, late);
    CHECK(place_request(set, wanted, late) == first);
    // Without requests out there is no silence.
    note_ended(*first, false, late);
    CHECK(place_request(set, wanted, late + milliseconds(60'000)) == first);
}

} // namespace lycheegap::traffic
