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

fleet_view view_of(std::span<const std::string> hosts, std::string_view own, common::time_point since) {
    fleet_view made;
    for (const auto& name : hosts) {
        fleet_member member;
        member.name = name;
        add_member(made, member, own, since);
    }
    return made;
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
    std::vector<fleet_view> views;
    for (std::size_t n = 0; n < hosts.size(); ++n) {
        views.push_back(view_of(hosts, hosts[n], start - handover_time));
        sets.push_back(make_set(1));
        sets.back().by_id["e0"]->cold.until = start + milliseconds(5000);
    }
    int sent = 0;
    for (int ms = 0; ms < 1000; ms += 10) {
        for (std::size_t n = 0; n < hosts.size(); ++n) {
            auto wanted = request("object");
            wanted.knowledge = {hosts[n], &views[n], start + milliseconds(5000)};
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
            const fleet_view nobody;
            auto wanted = request("object");
            wanted.knowledge = {host, &nobody, start + milliseconds(5000)};
            wanted.cold_limit = limit;
            sent += place_request(set, wanted, start + milliseconds(ms)) != nullptr ? 1 : 0;
        }
    }
    CHECK(sent <= limit);
}

TEST_CASE("a host shares in cold endpoints only while it surely knows the fleet") {
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
    // What the store confirmed long ago holds no more.
    CHECK_FALSE(has_share(later, later));
    // A host that lost its entry has no share; back again, others may have taken over meanwhile.
    const auto lapsed = start + milliseconds(10'000);
    remove_member(view, hosts[0], hosts[0], lapsed);
    CHECK_FALSE(has_share(lapsed, later));
    fleet_member own;
    own.name = hosts[0];
    add_member(view, own, hosts[0], lapsed);
    CHECK_FALSE(has_share(lapsed + milliseconds(1000), later));
    CHECK(has_share(lapsed + handover_time, later));
}

TEST_CASE("a host that left keeps its share until it must know that it has none") {
    const auto hosts = host_names(6);
    int taken_over = 0;
    for (const auto& own : hosts) {
        for (const auto& other : hosts) {
            auto view = view_of(hosts, own, start - handover_time);
            const double limit = 14;
            const fleet_knowledge knowledge{own, &view, start + milliseconds(60'000)};
            const bool before = has_cold_share(knowledge, "e0", limit, start);
            if (own == other || before) {
                continue;
            }
            remove_member(view, other, own, start);
            CHECK_FALSE(has_cold_share(knowledge, "e0", limit, start + handover_time - milliseconds(1)));
            taken_over += has_cold_share(knowledge, "e0", limit, start + handover_time) ? 1 : 0;
        }
    }
    // The third host follows either of the first two.
    CHECK(taken_over == 2);
}

TEST_CASE("the shares of a cold endpoint's limit never sum up to more than it") {
    for (double limit = 0; limit < 30; limit += 0.25) {
        CAPTURE(limit);
        const auto hosts = host_names(5);
        double sum = 0;
        for (const auto& own : hosts) {
            const auto view = view_of(hosts, own, start - handover_time);
            const fleet_knowledge knowledge{own, &view, start + milliseconds(1000)};
            sum += has_cold_share(knowledge, "e0", limit, start) ? cold_share(limit) : 0;
        }
        CHECK(sum <= limit);
        CHECK((limit < 1 || sum >= 1));
    }
}

TEST_CASE("an endpoint that turned cold in use rests until all hosts know it") {
    auto set = make_set(1);
    const auto hosts = host_names(1);
    const auto view = view_of(hosts, hosts[0], start - handover_time);
    auto wanted = request("object");
    wanted.knowledge = {hosts[0], &view, start + milliseconds(60'000)};
    wanted.cold_limit = 14;
    auto cold = set.by_id["e0"]->entry;
    cold.cold_for = milliseconds(5000);
    put_endpoint(set, cold, start);
    CHECK(place_request(set, wanted, start) == nullptr);
    CHECK(place_request(set, wanted, start + milliseconds(1900)) == nullptr);
    CHECK(place_request(set, wanted, start + milliseconds(2000)) != nullptr);
    // Nobody has sent to one that is new.
    cold.id = "e9";
    put_endpoint(set, cold, start);
    wanted.object = "";
    const auto found = place_request(set, wanted, start);
    REQUIRE(found);
    CHECK(found->entry.id == "e9");
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
