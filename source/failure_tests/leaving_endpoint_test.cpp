#include <cstdlib>

#include <doctest/doctest.h>

#include "fleet.h"

namespace lycheegap::failure_tests {

namespace {

using common::milliseconds;
using common::monotonic;

constexpr auto ask_interval = milliseconds(10);
constexpr auto drain_limit = milliseconds(3000);

struct load_counts {
    int answered{0};
    int failed{0};
};

/// Asks the given hosts in turn until `until`.
load_counts ask_in_turn(fleet& it, std::span<const std::size_t> hosts, common::time_point until) {
    load_counts counts;
    for (std::size_t n = 0; monotonic::now() < until; ++n) {
        const auto& host = it.hosts[hosts[n % hosts.size()]];
        const auto answer = ask(it, host.request, "GET", "/public/a");
        ++(answer && answer->status == 200 ? counts.answered : counts.failed);
        wait_until(ask_interval, [] { return false; });
    }
    return counts;
}

long counted(fleet& it, std::size_t endpoint, const std::string& name) {
    const auto answer = ask(it, it.endpoints[endpoint].address, "GET", "/record");
    const auto at = answer ? answer->body.find(" " + name + "=") : std::string::npos;
    REQUIRE(at != std::string::npos);
    return std::atol(answer->body.c_str() + at + name.size() + 2);
}

struct drain_result {
    load_counts load;
    /// How long after the drain's beginning the last run began; negative for none.
    long last_run_ms{0};
};

/// The first host alone sees the drain begin; the others get their first requests when the limit has passed.
drain_result drain_under_load(bool hidden) {
    const auto it = start_fleet({});
    REQUIRE(it);
    REQUIRE(set_up_teams(*it, {"kite"}, 50, 10));
    const std::vector<std::size_t> first = {0};
    const std::vector<std::size_t> others = {1, 2};
    ask_in_turn(*it, first, monotonic::now() + milliseconds(300));
    ask(*it, it->endpoints[0].address, "POST", hidden ? "/control?drain=1&hide_drain=1" : "/control?drain=1");
    const auto limit = monotonic::now() + drain_limit;
    drain_result result;
    result.load = ask_in_turn(*it, first, limit);
    const auto later = ask_in_turn(*it, others, limit + milliseconds(1000));
    result.load.answered += later.answered;
    result.load.failed += later.failed;
    result.last_run_ms = counted(*it, 0, "last_run_in_drain_ms");
    return result;
}

} // namespace

TEST_SUITE("leaving_endpoint") {
    TEST_CASE("an endpoint that drains gets no new work after 3 s, also from hosts that never used it") {
        const auto ours = drain_under_load(false);
        MESSAGE("last run " << ours.last_run_ms << " ms after the drain began, answered "
                            << ours.load.answered << ", failed " << ours.load.failed);
        CHECK(ours.last_run_ms < drain_limit.count());
        CHECK(ours.load.answered > 0);
        CHECK(ours.load.failed == 0);
    }

    TEST_CASE("naive version: hosts that wait for the catalog send new work after 3 s") {
        const auto naive = drain_under_load(true);
        MESSAGE("last run " << naive.last_run_ms << " ms after the drain began");
        CHECK(naive.last_run_ms >= drain_limit.count());
    }

    TEST_CASE("an endpoint that is taken out of its service gets no new work after 3 s") {
        const auto it = start_fleet({});
        REQUIRE(it);
        REQUIRE(set_up_teams(*it, {"kite"}, 50, 10));
        const std::vector<std::size_t> all = {0, 1, 2};
        ask_in_turn(*it, all, monotonic::now() + milliseconds(500));
        ask(*it, it->endpoints[0].address, "POST", "/control?drain=1&hide_drain=1");
        const auto limit = monotonic::now() + drain_limit;
        const auto edited =
            edit(*it, it->hosts[1],
                 R"({"set_service":{"name":"forecast","endpoints":[{"name":"worker-2","address":")" +
                     it->endpoints[1].address +
                     R"(","region":"vestkyst","failure_domain":"vestkyst-2","slots":4}]}})");
        REQUIRE(edited.find("\"revision\"") != std::string::npos);
        const auto load = ask_in_turn(*it, all, limit + milliseconds(1000));
        const auto last = counted(*it, 0, "last_run_in_drain_ms");
        MESSAGE("last run " << last << " ms after the edit, answered " << load.answered);
        CHECK(last < drain_limit.count());
        CHECK(load.answered > 0);
        CHECK(load.failed == 0);
    }

    TEST_CASE("probes cost an endpoint under 1% of its time and are shared by all hosts") {
        const auto it = start_fleet({6, 2, {"vestkyst-1", "vestkyst-2", "nordjylland-1"}, "", false});
        REQUIRE(it);
        REQUIRE(set_up_teams(*it, {"kite"}, 50, 10));
        const auto began_at = monotonic::now();
        const auto before = counted(*it, 0, "probes");
        wait_until(milliseconds(5000), [] { return false; });
        const auto probes = counted(*it, 0, "probes") - before;
        const double ms = common::seconds_between(began_at, monotonic::now()) * 1000;
        constexpr int probe_ms = 6;
        const double share = static_cast<double>(probes) * probe_ms / ms;
        MESSAGE(probes << " probes in " << ms << " ms by 6 hosts: " << share * 100 << "%");
        CHECK(probes > 0);
        CHECK(share < 0.01);
    }
}

} // namespace lycheegap::failure_tests
