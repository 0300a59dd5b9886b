#include "core/traffic/load_sharing.h"

#include <cmath>
#include <random>

#include <doctest/doctest.h>

#include "core/common/digest.h"

// Load: hosts that each send an endpoint a request only every few seconds, while the endpoint's load changes
// within one.
namespace lycheegap::traffic {

namespace {

using common::milliseconds;

const common::time_point start{std::chrono::seconds(1000)};

common::time_point at(int ms) {
    return start + milliseconds(ms);
}

endpoint_entry make_entry(int n) {
    endpoint_entry made;
    made.id = "e" + std::to_string(n);
    made.service = "quotes";
    made.address = "127.0.0.1:" + std::to_string(n + 1);
    made.slots = 9;
    return made;
}

fleet_members make_members(int hosts, int regions) {
    fleet_members made;
    for (int n = 0; n < hosts; ++n) {
        fleet_member it;
        it.name = "host-" + std::to_string(n);
        it.region = "r" + std::to_string(n % regions);
        it.peer_address = it.name;
        made[it.name] = it;
    }
    return made;
}

struct model_host {
    std::string name;
    endpoint_set set;
    load_log log;
    std::vector<std::string> partners;
    std::map<std::string, int> sent_until;
};

/// Number of requests at an endpoint: changes with a period of 4 s, out of phase with the others.
int load_of(int endpoint, int ms) {
    return static_cast<int>(4.5 + 4.5 * std::sin(ms / 640.0 + endpoint));
}

void pass_loads(model_host& from, model_host& to, int ms) {
    const auto loads = loads_since(from.log, at(from.sent_until[to.name]), at(ms), max_loads_per_message);
    from.sent_until[to.name] = ms;
    apply_shared_loads(to.set, loads, at(ms));
}

/// Mean error of the hosts' estimates of the endpoints' loads over 10 s, in requests.
double mean_estimate_error(bool shares) {
    constexpr int host_count = 12;
    constexpr int endpoint_count = 40;
    constexpr int step_ms = 50;
    std::mt19937_64 random(7);
    const auto members = make_members(host_count, 1);
    std::vector<model_host> hosts(host_count);
    for (int n = 0; n < host_count; ++n) {
        hosts[n].name = "host-" + std::to_string(n);
        hosts[n].partners = load_partners(members, hosts[n].name);
        for (int e = 0; e < endpoint_count; ++e) {
            put_endpoint(hosts[n].set, make_entry(e), start);
        }
    }
    double error = 0;
    int samples = 0;
    for (int ms = step_ms; ms < 10'000; ms += step_ms) {
        for (auto& it : hosts) {
            // 20 answers a second: one of each endpoint every 2 s.
            const int e = std::uniform_int_distribution(0, endpoint_count - 1)(random);
            auto& endpoint = *it.set.by_id.at("e" + std::to_string(e));
            const load_report report{.running = load_of(e, ms)};
            note_sent(endpoint, at(ms));
            note_report(endpoint, report, at(ms));
            note_ended(endpoint, true, at(ms));
            note_own_load(it.log, {load_key(endpoint.entry), report, at(ms)});
        }
        if (shares && ms % load_exchange_interval.count() == 0) {
            for (auto& it : hosts) {
                for (const auto& name : it.partners) {
                    auto& other = hosts[static_cast<std::size_t>(std::stoi(name.substr(5)))];
                    pass_loads(it, other, ms);
                    pass_loads(other, it, ms);
                }
            }
        }
        for (int e = 0; e < endpoint_count && ms > 3000; ++e) {
            const auto& it = *hosts[0].set.by_id.at("e" + std::to_string(e));
            error += std::abs(estimated_load(it, at(ms)) - load_of(e, ms));
            ++samples;
        }
    }
    return error / samples;
}

} // namespace

TEST_CASE(
    "hosts that pass on reports estimate the load of endpoints better than those that see only their own") {
    const double alone = mean_estimate_error(false);
    const double shared = mean_estimate_error(true);
    MESSAGE("mean error in requests: " << alone << " alone, " << shared << " shared");
    CHECK(shared < 0.75 * alone);
}

TEST_CASE("a later own report holds against an earlier one of another host") {
    endpoint_set set;
    put_endpoint(set, make_entry(1), start);
    auto& it = *set.by_id.at("e1");
    note_sent(it, at(0));
    note_report(it, {.running = 3}, at(100));
    note_ended(it, true, at(100));
    const auto key = load_key(it.entry);
    CHECK(apply_shared_loads(set, {{key, {.running = 9, .waiting = 20}, at(90)}}, at(200)) == 0);
    CHECK(estimated_load(it, at(100)) == doctest::Approx(3));
    CHECK(apply_shared_loads(set, {{key, {.running = 9, .waiting = 20}, at(190)}}, at(200)) == 1);
    CHECK(estimated_load(it, at(200)) > 3);
}

TEST_CASE("unknown endpoints, other starts of an endpoint and outdated reports are ignored") {
    endpoint_set set;
    put_endpoint(set, make_entry(1), start);
    auto other_start = make_entry(1);
    other_start.started_unix_ms = 5;
    const auto late = at(static_cast<int>(max_shared_load_age.count()) + 101);
    CHECK(apply_shared_loads(set, {{load_key(make_entry(2)), {.running = 9}, at(90)}}, at(100)) == 0);
    CHECK(apply_shared_loads(set, {{load_key(other_start), {.running = 9}, at(90)}}, at(100)) == 0);
    CHECK(apply_shared_loads(set, {{load_key(make_entry(1)), {.running = 9}, at(100)}}, late) == 0);
    CHECK(!set.by_id.at("e1")->external);
}

TEST_CASE("a message holds the latest reports that the receiver lacks, and no more than its limit") {
    load_log log;
    for (int n = 0; n < 40; ++n) {
        note_own_load(log, {static_cast<std::uint64_t>(n), {.running = n}, at(n)});
    }
    const auto first = loads_since(log, common::time_point{}, at(50), max_loads_per_message);
    REQUIRE(first.size() == max_loads_per_message);
    CHECK(first.front().load.running == 39);
    CHECK(first.back().load.running == 24);
    note_own_load(log, {3, {.running = 8, .waiting = 1}, at(60)});
    const auto next = loads_since(log, at(50), at(70), max_loads_per_message);
    REQUIRE(next.size() == 1);
    CHECK(next.front().load.running == 8);
}

TEST_CASE("the log stays bounded, and makes room by dropping outdated reports") {
    load_log log;
    for (std::size_t n = 0; n < max_kept_loads + 100; ++n) {
        note_own_load(log, {n, {.running = 1}, at(0)});
    }
    CHECK(log.latest.size() == max_kept_loads);
    note_own_load(log, {1'000'000, {.running = 1}, at(static_cast<int>(max_shared_load_age.count()) + 1)});
    CHECK(log.latest.contains(1'000'000));
    CHECK(log.latest.size() < max_kept_loads);
}

TEST_CASE("partners are in the own region, few at any size, and spread over the hosts") {
    const auto members = make_members(870, 3);
    std::map<std::string, int> chosen;
    for (const auto& [name, it] : members) {
        const auto partners = load_partners(members, name);
        CHECK(partners.size() == 4);
        for (const auto& partner : partners) {
            CHECK(members.at(partner).region == it.region);
            CHECK(partner != name);
            ++chosen[partner];
        }
    }
    for (const auto& [name, times] : chosen) {
        CHECK(times <= 16);
    }
    CHECK(load_partners(members, "unknown").empty());
}

} // namespace lycheegap::traffic
