#include <cstdlib>
#include <thread>

#include <doctest/doctest.h>

#include "fleet.h"

namespace lycheegap::failure_tests {

namespace {

using common::milliseconds;
using common::monotonic;

constexpr auto settle_time = milliseconds(4000);
constexpr auto measure_time = milliseconds(5000);
/// Two relays in each of three failure domains, each with one watch a second, and some slack for a changed
/// role.
constexpr double calls_per_second_limit = 9;

std::uint64_t calls_of(fleet& it) {
    const auto answer = ask(it, it.store_address, "GET", "/counts");
    const auto at = answer ? answer->body.find(':') : std::string::npos;
    return at == std::string::npos ? 0 : std::strtoull(answer->body.c_str() + at + 1, nullptr, 10);
}

double calls_per_second(int hosts, const std::string& fault) {
    fleet_options options;
    options.hosts = hosts;
    options.endpoints = 0;
    // The count is the same with fewer threads, and dozens of hosts share the machine.
    options.extra_settings = "[callers]\nlookup_workers = 1\nrequest_workers = 1\n";
    const auto it = start_fleet(options);
    REQUIRE(it);
    std::this_thread::sleep_for(settle_time);
    ask(*it, it->store_address, "POST", "/control?" + fault);
    const auto before = calls_of(*it);
    const auto began_at = monotonic::now();
    std::this_thread::sleep_for(measure_time);
    const auto made = static_cast<double>(calls_of(*it) - before);
    const double rate = made / common::seconds_between(began_at, monotonic::now());
    MESSAGE(hosts, " hosts, ", fault, ": ", rate, " store calls a second");
    return rate;
}

} // namespace

TEST_SUITE("store_calls") {
    TEST_CASE("calls of the store do not grow with the hosts") {
        for (const int hosts : {3, 12, 24}) {
            CHECK(calls_per_second(hosts, "outage=0") <= calls_per_second_limit);
        }
    }

    TEST_CASE("calls of the store do not grow with the hosts while it is down") {
        CHECK(calls_per_second(24, "outage=1") <= calls_per_second_limit * 2);
    }
}

} // namespace lycheegap::failure_tests
