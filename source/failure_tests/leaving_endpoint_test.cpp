#include <cstdlib>

#include <doctest/doctest.h>

#include "fleet.h"

namespace lycheegap::failure_tests {

namespace {

using common::milliseconds;
using common::monotonic;

constexpr auto request_interval = milliseconds(10);
/// A leaving endpoint gets no new work later than this after its drain began or it left its service.
constexpr auto max_new_work_time = milliseconds(3000);

struct load_counts {
    int answered{0};
    int failed{0};
};

/// Sends requests to the given hosts in turn until `end`.
load_counts send_round_robin(fleet& it, std::span<const std::size_t> hosts, common::time_point end) {
    load_counts counts;
    for (std::size_t n = 0; monotonic::now() < end; ++n) {
        const auto& host = it.hosts[hosts[n % hosts.size()]];
        const auto response = send_test_request(it, host.request_address, "GET", "/public/a");
        ++(response && response->status == 200 ? counts.answered : counts.failed);
        wait_until(request_interval, [] { return false; });
    }
    return counts;
}

long read_endpoint_counter(fleet& it, std::size_t endpoint, const std::string& name) {
    const auto response = send_test_request(it, it.endpoints[endpoint].address, "GET", "/record");
    const auto value_start = response ? response->body.find(" " + name + "=") : std::string::npos;
    REQUIRE(value_start != std::string::npos);
    return std::atol(response->body.c_str() + value_start + name.size() + 2);
}

struct drain_result {
    load_counts load;
    /// Time from the start of the drain to the start of the last run; negative when there was none.
    long last_run_ms{0};
};

/// Drains an endpoint, without announcing it if `hide_drain`. Requests go to the first host alone until
/// `max_new_work_time` has passed, and then to the others, which had not used the endpoint.
drain_result drain_under_load(bool hide_drain) {
    const auto it = start_fleet({});
    REQUIRE(it);
    REQUIRE(create_teams(*it, {"kite"}, 50, 10));
    const std::vector<std::size_t> first_host = {0};
    const std::vector<std::size_t> other_hosts = {1, 2};
    send_round_robin(*it, first_host, monotonic::now() + milliseconds(300));
    send_test_request(*it, it->endpoints[0].address, "POST",
                      hide_drain ? "/control?drain=1&hide_drain=1" : "/control?drain=1");
    const auto new_work_deadline = monotonic::now() + max_new_work_time;
    drain_result result;
    result.load = send_round_robin(*it, first_host, new_work_deadline);
    const auto other_load = send_round_robin(*it, other_hosts, new_work_deadline + milliseconds(1000));
    result.load.answered += other_load.answered;
    result.load.failed += other_load.failed;
    result.last_run_ms = read_endpoint_counter(*it, 0, "last_run_in_drain_ms");
    return result;
}

} // namespace

TEST_SUITE("leaving_endpoint") {
    TEST_CASE("a draining endpoint gets no new work after 3 s, also from hosts that never used it") {
        const auto announced = drain_under_load(false);
        MESSAGE("last run " << announced.last_run_ms << " ms after the drain began, answered "
                            << announced.load.answered << ", failed " << announced.load.failed);
        CHECK(announced.last_run_ms < max_new_work_time.count());
        CHECK(announced.load.answered > 0);
        CHECK(announced.load.failed == 0);
    }

    TEST_CASE("without an announced drain, hosts that wait for the catalog send new work after 3 s") {
        const auto hidden = drain_under_load(true);
        MESSAGE("last run " << hidden.last_run_ms << " ms after the drain began");
        CHECK(hidden.last_run_ms >= max_new_work_time.count());
    }

    TEST_CASE("an endpoint removed from its service gets no new work after 3 s") {
        const auto it = start_fleet({});
        REQUIRE(it);
        REQUIRE(create_teams(*it, {"kite"}, 50, 10));
        const std::vector<std::size_t> all_hosts = {0, 1, 2};
        send_round_robin(*it, all_hosts, monotonic::now() + milliseconds(500));
        // The hosts do not see this drain; it only starts the clock of last_run_in_drain_ms.
        send_test_request(*it, it->endpoints[0].address, "POST", "/control?drain=1&hide_drain=1");
        const auto new_work_deadline = monotonic::now() + max_new_work_time;
        const auto edit_response =
            post_edit(*it, it->hosts[1],
                      R"({"set_service":{"name":"forecast","endpoints":[{"name":"worker-2","address":")" +
                          it->endpoints[1].address +
                          R"(","region":"vestkyst","failure_domain":"vestkyst-2","slots":4}]}})");
        REQUIRE(edit_response.find("\"revision\"") != std::string::npos);
        const auto load = send_round_robin(*it, all_hosts, new_work_deadline + milliseconds(1000));
        const auto last_run_ms = read_endpoint_counter(*it, 0, "last_run_in_drain_ms");
        MESSAGE("last run " << last_run_ms << " ms after the edit, answered " << load.answered);
        CHECK(last_run_ms < max_new_work_time.count());
        CHECK(load.answered > 0);
        CHECK(load.failed == 0);
    }

    TEST_CASE("probes cost an endpoint under 1% of its time and are shared by all hosts") {
        const auto it = start_fleet({6, 2, {"vestkyst-1", "vestkyst-2", "nordjylland-1"}, "", false});
        REQUIRE(it);
        REQUIRE(create_teams(*it, {"kite"}, 50, 10));
        const auto started_at = monotonic::now();
        const auto probes_before = read_endpoint_counter(*it, 0, "probes");
        wait_until(milliseconds(5000), [] { return false; });
        const auto probes = read_endpoint_counter(*it, 0, "probes") - probes_before;
        const double elapsed_ms = common::seconds_between(started_at, monotonic::now()) * 1000;
        // Time that a probe takes in endpoint_stand_in by default.
        constexpr int probe_ms = 6;
        const double share = static_cast<double>(probes) * probe_ms / elapsed_ms;
        MESSAGE(probes << " probes in " << elapsed_ms << " ms by 6 hosts: " << share * 100 << "%");
        CHECK(probes > 0);
        CHECK(share < 0.01);
    }
}

} // namespace lycheegap::failure_tests
