#include <cstdlib>
#include <thread>

#include <doctest/doctest.h>

#include "fleet.h"

namespace lycheegap::failure_tests {

namespace {

using common::milliseconds;
using common::monotonic;

constexpr auto settle_time = milliseconds(4000);
constexpr auto measurement_time = milliseconds(5000);
/// Two relays in each of three failure domains send one watch a second each; the rest allows for a change of
/// relays during the measurement.
constexpr double max_calls_per_second = 9;

std::uint64_t fetch_call_count(fleet& it) {
    const auto response = send_test_request(it, it.store_address, "GET", "/counts");
    const auto number_start = response ? response->body.find(':') : std::string::npos;
    return number_start == std::string::npos
               ? 0
               : std::strtoull(response->body.c_str() + number_start + 1, nullptr, 10);
}

double measure_calls_per_second(int hosts, const std::string& fault) {
    fleet_options options;
    options.hosts = hosts;
    options.endpoints = 0;
    // The number of threads does not change the store calls; few threads let dozens of hosts share one
    // machine.
    options.extra_settings = "[callers]\nlookup_workers = 1\nrequest_workers = 1\n";
    const auto it = start_fleet(options);
    REQUIRE(it);
    std::this_thread::sleep_for(settle_time);
    send_test_request(*it, it->store_address, "POST", "/control?" + fault);
    const auto calls_before = fetch_call_count(*it);
    const auto started_at = monotonic::now();
    std::this_thread::sleep_for(measurement_time);
    const auto calls = static_cast<double>(fetch_call_count(*it) - calls_before);
    const double rate = calls / common::seconds_between(started_at, monotonic::now());
    MESSAGE(hosts, " hosts, ", fault, ": ", rate, " store calls a second");
    return rate;
}

} // namespace

TEST_SUITE("store_calls") {
    TEST_CASE("store calls do not grow with the number of hosts") {
        for (const int hosts : {3, 12, 24}) {
            CHECK(measure_calls_per_second(hosts, "outage=0") <= max_calls_per_second);
        }
    }

    TEST_CASE("store calls do not grow with the number of hosts while the store is down") {
        CHECK(measure_calls_per_second(24, "outage=1") <= max_calls_per_second * 2);
    }
}

} // namespace lycheegap::failure_tests
