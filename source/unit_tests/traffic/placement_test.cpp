#include "core/traffic/placement_by_load.h"

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

fleet_view view_of(std::span<const std::string> hosts, std::string_view own, common::time_point since) {
    fleet_view made;
    for (const auto& name : hosts) {
        fleet_member member;
        member.name = name;
        add_member(made, member, own, since);
    }
    return made;
}

placement_request make_request(std::string_view object, std::string_view region = "coast") {
    placement_request made;
    made.service = "desk";
    made.object_key = object;
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
            seen[object].insert(place_by_load(set, make_request(object, region), start)->entry.id);
        }
    }
    std::set<std::string> used;
    for (const auto& [object, ids] : seen) {
        CHECK(ids.size() <= 2);
        used.insert(ids.begin(), ids.end());
    }
    CHECK(used.size() >= 10);
}

TEST_CASE("a request that must not wait goes only to an endpoint with a free slot that is not avoided") {
    for (const auto* object : {"", "object"}) {
        CAPTURE(object);
        auto set = make_set(2);
        auto request = make_request(object);
        request.needs_free_slot = true;
        const auto first = place_by_load(set, request, start);
        REQUIRE(first != nullptr);
        first->in_flight = 6;
        const auto second = place_by_load(set, request, start);
        REQUIRE(second != nullptr);
        CHECK(second != first);
        note_failure(*second, start);
        CHECK(place_by_load(set, request, start) == nullptr);
        request.needs_free_slot = false;
        CHECK(place_by_load(set, request, start) != nullptr);
    }
}

TEST_CASE(
    "an overloaded endpoint is passed over for the second preferred one, then for any with spare capacity") {
    auto set = make_set(6);
    const auto first = place_by_load(set, make_request("object"), start);
    first->in_flight = 6;
    const auto second = place_by_load(set, make_request("object"), start);
    CHECK(second != first);
    second->in_flight = 6;
    // Both are full: a short wait at a preferred one costs less than an endpoint without the object.
    const auto third = place_by_load(set, make_request("object"), start);
    CHECK((third == first || third == second));
    first->in_flight = 9;
    second->in_flight = 9;
    const auto fallback = place_by_load(set, make_request("object"), start);
    REQUIRE(fallback);
    CHECK(fallback != first);
    CHECK(fallback != second);
    for (const auto& [id, it] : set.by_id) {
        it->in_flight = 9;
    }
    CHECK(place_by_load(set, make_request("object"), start) == nullptr);
}

TEST_CASE("endpoints that were tried, are not allowed or are avoided are not selected") {
    auto set = make_set(4);
    const std::vector<std::string> regions = {"inland"};
    auto request = make_request("object");
    request.regions = regions;
    const auto allowed = place_by_load(set, request, start);
    CHECK(allowed->entry.region == "inland");
    const std::vector<std::string> tried = {allowed->entry.id};
    request.tried = tried;
    const auto other = place_by_load(set, request, start);
    REQUIRE(other);
    CHECK(other != allowed);
    CHECK(other->entry.region == "inland");
    note_failure(*other, start);
    request.tried = {};
    CHECK(place_by_load(set, request, start) == allowed);
}

TEST_CASE("all hosts together keep a cold endpoint's limit within a second") {
    const auto hosts = host_names(25);
    const double limit = 6 * 1.5 + 5;
    std::vector<endpoint_set> sets;
    std::vector<fleet_view> views;
    for (std::size_t n = 0; n < hosts.size(); ++n) {
        views.push_back(view_of(hosts, hosts[n], start - handover_time));
        sets.push_back(make_set(1));
        sets.back().by_id["e0"]->cold.until = start + milliseconds(5000);
    }
    int sent = 0;
    for (int ms = 0; ms < 1000; ms += 10) {
        for (std::size_t n = 0; n < hosts.size(); ++n) {
            auto request = make_request("object");
            request.knowledge = {hosts[n], &views[n], start + milliseconds(5000)};
            request.cold_limit = limit;
            sent += place_by_load(sets[n], request, start + milliseconds(ms)) != nullptr ? 1 : 0;
        }
    }
    CHECK(sent > 0);
    CHECK(sent <= limit);
}

TEST_CASE("hosts with an empty membership view do not each take a share of a cold endpoint's limit") {
    const double limit = 6 * 1.5 + 5;
    int sent = 0;
    for (const auto& host : host_names(25)) {
        auto set = make_set(1);
        set.by_id["e0"]->cold.until = start + milliseconds(5000);
        for (int ms = 0; ms < 1000; ms += 10) {
            const fleet_view empty_view;
            auto request = make_request("object");
            request.knowledge = {host, &empty_view, start + milliseconds(5000)};
            request.cold_limit = limit;
            sent += place_by_load(set, request, start + milliseconds(ms)) != nullptr ? 1 : 0;
        }
    }
    CHECK(sent <= limit);
}

TEST_CASE("a host has a share of cold endpoints only while its membership view is valid") {
    const auto hosts = host_names(2);
    auto view = view_of(hosts, hosts[0], start);
    const auto later = start + milliseconds(20'000);
    const double limit = 14;
    const auto has_share = [&](common::time_point now, common::time_point valid_until) {
        return has_cold_share({hosts[0], &view, valid_until}, "e0", limit, now);
    };
    CHECK_FALSE(has_share(start, later));
    CHECK_FALSE(has_share(start + handover_time - milliseconds(1), later));
    CHECK(has_share(start + handover_time, later));
    // The last confirmation by the store is too old.
    CHECK_FALSE(has_share(later, later));
    // A host whose entry expired has no share. After it registers again, it waits, as others may have taken
    // over.
    const auto expired_at = start + milliseconds(10'000);
    remove_member(view, hosts[0], hosts[0], expired_at);
    CHECK_FALSE(has_share(expired_at, later));
    fleet_member own;
    own.name = hosts[0];
    add_member(view, own, hosts[0], expired_at);
    CHECK_FALSE(has_share(expired_at + milliseconds(1000), later));
    CHECK(has_share(expired_at + handover_time, later));
}

TEST_CASE("the share of a host that left is taken over only after the handover time") {
    const auto hosts = host_names(6);
    int taken_over = 0;
    for (const auto& own : hosts) {
        for (const auto& other : hosts) {
            auto view = view_of(hosts, own, start - handover_time);
            const double limit = 14;
            const membership_knowledge knowledge{own, &view, start + milliseconds(60'000)};
            const bool before = has_cold_share(knowledge, "e0", limit, start);
            if (own == other || before) {
                continue;
            }
            remove_member(view, other, own, start);
            CHECK_FALSE(has_cold_share(knowledge, "e0", limit, start + handover_time - milliseconds(1)));
            taken_over += has_cold_share(knowledge, "e0", limit, start + handover_time) ? 1 : 0;
        }
    }
    // The host that ranks third takes over from either of the first two.
    CHECK(taken_over == 2);
}

TEST_CASE("the shares of a cold endpoint's limit never add up to more than the limit") {
    for (double limit = 0; limit < 30; limit += 0.25) {
        CAPTURE(limit);
        const auto hosts = host_names(5);
        double sum = 0;
        for (const auto& own : hosts) {
            const auto view = view_of(hosts, own, start - handover_time);
            const membership_knowledge knowledge{own, &view, start + milliseconds(1000)};
            sum += has_cold_share(knowledge, "e0", limit, start) ? cold_share(limit) : 0;
        }
        CHECK(sum <= limit);
        CHECK((limit < 1 || sum >= 1));
    }
}

TEST_CASE("an endpoint that turned cold in use gets no requests until all hosts know that it is cold") {
    auto set = make_set(1);
    const auto hosts = host_names(1);
    const auto view = view_of(hosts, hosts[0], start - handover_time);
    auto request = make_request("object");
    request.knowledge = {hosts[0], &view, start + milliseconds(60'000)};
    request.cold_limit = 14;
    auto cold = set.by_id["e0"]->entry;
    cold.cold_remaining = milliseconds(5000);
    put_endpoint(set, cold, start);
    CHECK(place_by_load(set, request, start) == nullptr);
    CHECK(place_by_load(set, request, start + milliseconds(1900)) == nullptr);
    CHECK(place_by_load(set, request, start + milliseconds(2000)) != nullptr);
    // A new endpoint is used at once, as no host has sent to it yet.
    cold.id = "e9";
    put_endpoint(set, cold, start);
    request.object_key = "";
    const auto found = place_by_load(set, request, start);
    REQUIRE(found);
    CHECK(found->entry.id == "e9");
}

TEST_CASE("a request without an object goes to the least loaded endpoint") {
    auto set = make_set(3);
    set.by_id["e0"]->in_flight = 2;
    set.by_id["e1"]->in_flight = 1;
    CHECK(place_by_load(set, make_request(""), start)->entry.id == "e2");
}

TEST_CASE("an endpoint that does not answer is avoided until it answers again") {
    auto set = make_set(8);
    auto request = make_request("7");
    request.target_latency = milliseconds(400);
    const auto first = place_by_load(set, request, start);
    note_sent(*first, start);
    // A slow answer is not yet a missing one.
    CHECK(place_by_load(set, request, start + milliseconds(1100)) == first);
    const auto late = start + milliseconds(1300);
    const auto second = place_by_load(set, request, late);
    REQUIRE(second != first);
    // On a route with a higher target latency, the endpoint is avoided later.
    auto slow_route = request;
    slow_route.target_latency = milliseconds(1200);
    CHECK(place_by_load(set, slow_route, late) == first);
    // Any answer ends the avoidance, even while other requests are in flight.
    note_sent(*first, late);
    note_ended(*first, true, late);
    CHECK(place_by_load(set, request, late) == first);
    // Without requests in flight, no answer is missing.
    note_ended(*first, false, late);
    CHECK(place_by_load(set, request, late + milliseconds(60'000)) == first);
}

} // namespace lycheegap::traffic
