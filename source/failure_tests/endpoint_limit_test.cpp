#include <algorithm>
#include <thread>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "soak/soak_calls.h"
#include "soak/soak_checks.h"
#include "soak/soak_fleet.h"

namespace lycheegap::failure_tests {

namespace {

using common::milliseconds;

// Users' bound: from this time after an endpoint first named its limit, no 4 s hold more than one and a half
// times what it allows, and five requests.
constexpr milliseconds stable_time{4000};
constexpr std::int64_t window_ms = 4000;

/// A fleet whose callers send more than limited endpoints take.
struct loaded_fleet {
    std::unique_ptr<soak::soak_fleet> fleet;
    std::unique_ptr<soak::soak_callers> callers;
};

loaded_fleet start_loaded_fleet() {
    soak::soak_size size;
    size.hosts = 8;
    size.unused_routes = 0;
    loaded_fleet made;
    made.fleet = soak::start_soak_fleet(size);
    REQUIRE(made.fleet);
    made.callers = std::make_unique<soak::soak_callers>(*made.fleet, 24, 7);
    return made;
}

std::vector<soak::run_record> arrivals_at(const soak::soak_endpoint& endpoint) {
    return soak::parse_arrivals(endpoint.id, read_log(endpoint.process));
}

/// Largest number of requests in any window that begins at `since_ms` or later.
std::size_t most_in_window(std::vector<soak::run_record> arrivals, std::int64_t since_ms) {
    std::erase_if(arrivals, [&](const auto& it) { return it.at_ms < since_ms; });
    return soak::most_runs_in_window(arrivals, window_ms);
}

double allowed_in_window(double limit_per_s) {
    return 1.5 * limit_per_s * static_cast<double>(window_ms) / 1000 + 5;
}

void name_limit(loaded_fleet& it, std::size_t endpoint, const std::string& limit) {
    soak::send_control(*it.fleet, it.fleet->endpoints[endpoint].address, "limit=" + limit);
}

} // namespace

TEST_SUITE_BEGIN("endpoint_limit");

// Guards against hosts that go on sending as before to an endpoint that names the requests per second that it
// takes from all of them together.
TEST_CASE("an endpoint that names a limit gets no more than that from all hosts together") {
    constexpr double limit_per_s = 2.5;
    auto it = start_loaded_fleet();
    std::this_thread::sleep_for(milliseconds(2000));
    name_limit(it, 0, fmt::format("{}", limit_per_s));
    std::this_thread::sleep_for(stable_time);
    const auto since_ms = common::unix_milliseconds();
    std::this_thread::sleep_for(milliseconds(8000));
    const auto limited = most_in_window(arrivals_at(it.fleet->endpoints[0]), since_ms);
    MESSAGE(limited << " requests in 4 s, allowed " << allowed_in_window(limit_per_s));
    CHECK(static_cast<double>(limited) <= allowed_in_window(limit_per_s));
    CHECK(limited > 0);
    // The limit holds for as long as the endpoint says so.
    name_limit(it, 0, "");
    std::this_thread::sleep_for(stable_time);
    const auto ended_ms = common::unix_milliseconds();
    std::this_thread::sleep_for(milliseconds(4500));
    const auto unlimited = most_in_window(arrivals_at(it.fleet->endpoints[0]), ended_ms);
    MESSAGE(unlimited << " requests in 4 s without a limit");
    CHECK(static_cast<double>(unlimited) > allowed_in_window(limit_per_s));
}

// Guards against requests that are passed on beyond the limits when no endpoint of a service has room.
TEST_CASE(
    "when all endpoints name a limit each gets no more, and the other requests are refused as not run") {
    constexpr double limit_per_s = 4;
    auto it = start_loaded_fleet();
    for (std::size_t n = 0; n < it.fleet->endpoints.size(); ++n) {
        name_limit(it, n, fmt::format("{}", limit_per_s));
    }
    std::this_thread::sleep_for(stable_time);
    const auto since_ms = common::unix_milliseconds();
    std::this_thread::sleep_for(milliseconds(8000));
    std::size_t all = 0;
    for (const auto& endpoint : it.fleet->endpoints) {
        const auto limited = most_in_window(arrivals_at(endpoint), since_ms);
        MESSAGE(endpoint.id << ": " << limited << " requests in 4 s, allowed "
                            << allowed_in_window(limit_per_s));
        CHECK(static_cast<double>(limited) <= allowed_in_window(limit_per_s));
        all += limited;
    }
    const auto calls = it.callers->stop();
    const auto served = std::count_if(calls.begin(), calls.end(), [&](const auto& call) {
        return call.sent_ms >= since_ms && call.status == 200;
    });
    std::vector<soak::run_record> runs;
    for (const auto& endpoint : it.fleet->endpoints) {
        auto more = soak::parse_runs(endpoint.id, read_log(endpoint.process));
        std::move(more.begin(), more.end(), std::back_inserter(runs));
    }
    const auto& uploads = it.fleet->uploads;
    auto uploaded = soak::parse_runs(uploads.id, read_log(uploads.process));
    std::move(uploaded.begin(), uploaded.end(), std::back_inserter(runs));
    const auto findings = soak::check_calls(calls, runs);
    for (const auto& finding : findings) {
        MESSAGE(finding.guarantee << ": " << finding.detail);
    }
    CHECK(findings.empty());
    CHECK(all > 0);
    CHECK(served > 0);
}

TEST_SUITE_END();

} // namespace lycheegap::failure_tests
