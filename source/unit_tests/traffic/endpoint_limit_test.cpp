#include <algorithm>
#include <deque>
#include <random>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "core/traffic/endpoint_set.h"
#include "core/traffic/placement.h"

namespace lycheegap::traffic {

using common::milliseconds;

namespace {

const common::time_point start{std::chrono::hours(1)};
constexpr milliseconds step{10};
constexpr milliseconds window{4000};

/// Users' bound on the requests of all hosts in 4 s.
double allowed(double per_second) {
    return 1.5 * per_second * 4 + 5;
}

fleet_member member_of(const std::string& name) {
    fleet_member made;
    made.name = name;
    made.region = "coast";
    made.domain = "coast-1";
    made.request_address = "10.0.0.1:1";
    made.peer_address = "10.0.0.1:2";
    return made;
}

fleet_view fleet_of(std::size_t hosts, const std::string& own) {
    fleet_view view;
    std::vector<member_change> changes;
    for (std::size_t n = 0; n < hosts; ++n) {
        const auto name = fmt::format("host-{}", n);
        changes.push_back({name, member_of(name)});
    }
    change_members(view, std::move(changes), own, start - handover_time);
    return view;
}

/// One host with its view of the fleet and of the endpoint's limit.
struct limited_host {
    std::string name;
    fleet_view fleet;
    endpoint_limit limit;
};

std::vector<limited_host> make_hosts(std::size_t count, double per_second) {
    std::vector<limited_host> hosts;
    for (std::size_t n = 0; n < count; ++n) {
        const auto name = fmt::format("host-{}", n);
        hosts.push_back({name, fleet_of(count, name), {}});
        note_named_limit(hosts.back().limit, per_second, start);
    }
    return hosts;
}

bool send(limited_host& host, common::time_point now) {
    const membership_knowledge knowledge{host.name, &host.fleet, now + milliseconds(1000)};
    if (!has_limit_room(host.limit, knowledge, "endpoint", now)) {
        return false;
    }
    count_limited_request(host.limit, knowledge, "endpoint", now);
    return true;
}

/// Requests of all hosts, when each sends whenever it may.
struct fleet_load {
    std::size_t most_in_window{0};
    double per_second{0};
};

fleet_load load_of(std::vector<limited_host>& hosts, milliseconds length, bool has_news) {
    std::deque<common::time_point> sent;
    fleet_load load;
    std::size_t all = 0;
    for (auto now = start; now < start + length; now += step) {
        for (auto& it : hosts) {
            if (has_news && it.limit.per_second) {
                note_named_limit(it.limit, it.limit.per_second, now);
            }
            while (send(it, now)) {
                sent.push_back(now);
                ++all;
            }
        }
        while (!sent.empty() && sent.front() + window <= now) {
            sent.pop_front();
        }
        load.most_in_window = std::max(load.most_in_window, sent.size());
    }
    load.per_second = static_cast<double>(all) / std::chrono::duration<double>(length).count();
    return load;
}

endpoint_entry entry_of(const std::string& id, std::int64_t started_unix_ms) {
    endpoint_entry made;
    made.id = id;
    made.service = "desk";
    made.address = "10.0.0.1:80";
    made.started_unix_ms = started_unix_ms;
    return made;
}

} // namespace

// Guards against shares that start full or round up: each of many hosts then sends a request at once.
TEST_CASE("hosts together keep an endpoint's limit and use most of it, whatever their number") {
    for (const std::size_t hosts : {1U, 3U, 25U, 300U}) {
        for (const double per_second : {0.25, 0.9, 2.5, 12.0, 400.0}) {
            CAPTURE(hosts);
            CAPTURE(per_second);
            auto all = make_hosts(hosts, per_second);
            const auto load = load_of(all, milliseconds(hosts == 300 ? 10'000 : 20'000), true);
            CHECK(static_cast<double>(load.most_in_window) <= allowed(per_second));
            CHECK(load.per_second <= per_second * 1.25);
            if (per_second >= 2) {
                CHECK(load.per_second >= per_second * 0.6);
            }
        }
    }
}

TEST_CASE("hosts that hear nothing of a limit any more ask for it without exceeding it") {
    constexpr double per_second = 2.5;
    auto hosts = make_hosts(25, per_second);
    // Only hosts without a share have requests for the endpoint.
    std::erase_if(hosts, [](auto& it) {
        const membership_knowledge knowledge{it.name, &it.fleet, start + milliseconds(1000)};
        return has_share(knowledge, "endpoint", 4, start);
    });
    REQUIRE(hosts.size() == 21);
    CHECK(load_of(hosts, milliseconds(14'000), false).most_in_window == 0);
    const auto load = load_of(hosts, milliseconds(60'000), false);
    CHECK(load.most_in_window > 0);
    CHECK(static_cast<double>(load.most_in_window) <= allowed(per_second) / 2);
}

TEST_CASE("a host without a current view of the fleet sends nothing to an endpoint with a limit") {
    auto host = make_hosts(1, 100).front();
    const auto later = start + milliseconds(1000);
    const membership_knowledge outdated{host.name, &host.fleet, later};
    CHECK_FALSE(has_limit_room(host.limit, outdated, "endpoint", later));
    const membership_knowledge unknown{host.name, nullptr, later + milliseconds(1000)};
    CHECK_FALSE(has_limit_room(host.limit, unknown, "endpoint", later));
}

TEST_CASE("a host that becomes a member has no share of a limit at once") {
    auto host = make_hosts(1, 100).front();
    host.fleet.member_since = start;
    CHECK_FALSE(send(host, start + handover_time - step));
    CHECK_FALSE(send(host, start + handover_time));
    CHECK(send(host, start + handover_time + milliseconds(100)));
}

TEST_CASE("the latest word about a limit holds, in whatever order notices arrive") {
    endpoint_limit limit;
    CHECK_FALSE(note_named_limit(limit, std::nullopt, start));
    CHECK_FALSE(note_shared_limit(limit, std::nullopt, start, start));
    CHECK(note_shared_limit(limit, 3.0, start, start));
    // A notice from before, and one that was passed on by another host.
    CHECK_FALSE(note_shared_limit(limit, std::nullopt, start - milliseconds(1), start));
    CHECK_FALSE(note_shared_limit(limit, 3.0, start + milliseconds(60), start + milliseconds(60)));
    CHECK(limit.told_at == start);
    CHECK(note_shared_limit(limit, std::nullopt, start + milliseconds(400), start + milliseconds(400)));
    CHECK_FALSE(limit.per_second.has_value());
    CHECK_FALSE(note_shared_limit(limit, 3.0, start + milliseconds(200), start + milliseconds(500)));
    CHECK_FALSE(limit.per_second.has_value());
    CHECK(note_named_limit(limit, 5.0, start + milliseconds(600)));
    // Not worth a notice, but followed.
    CHECK_FALSE(note_named_limit(limit, 5.1, start + milliseconds(700)));
    CHECK(limit.per_second == 5.1);
    CHECK(note_named_limit(limit, 9.0, start + milliseconds(800)));
}

TEST_CASE("a limit outlasts an entry that lapses, not a new start of the endpoint") {
    endpoint_set set;
    put_endpoint(set, entry_of("e", 1), start);
    note_named_limit(set.by_id.at("e")->limit, 2.5, start);
    remove_endpoint(set, "e", start);
    put_endpoint(set, entry_of("e", 1), start + milliseconds(3000));
    CHECK(set.by_id.at("e")->limit.per_second == 2.5);
    put_endpoint(set, entry_of("e", 2), start + milliseconds(4000));
    CHECK_FALSE(set.by_id.at("e")->limit.per_second.has_value());
}

TEST_CASE("the supply of a service is known only while all its endpoints name limits") {
    endpoint_set set;
    put_endpoint(set, entry_of("a", 1), start);
    put_endpoint(set, entry_of("b", 1), start);
    placement_request request;
    request.service = "desk";
    note_named_limit(set.by_id.at("a")->limit, 2.5, start);
    CHECK_FALSE(limited_supply(set, request, start).has_value());
    note_named_limit(set.by_id.at("b")->limit, 4, start);
    CHECK(limited_supply(set, request, start) == 6.5);
}

} // namespace lycheegap::traffic
