#include <algorithm>
#include <span>
#include <thread>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "fleet.h"
#include "lycheegap_load/load_run.h"

namespace lycheegap::failure_tests {

namespace {

using common::milliseconds;

constexpr double load_duration_s = 13;
constexpr auto stop_delay = milliseconds(2000);

load::load_plan plan_for(const fleet& it, const std::string& method, const std::string& path, double rate) {
    load::load_plan plan;
    for (const auto& host : it.hosts) {
        plan.lookup_addresses.push_back(host.lookup_address);
    }
    plan.key = "key-of-kite";
    plan.method = method;
    plan.path = path;
    plan.rate = rate;
    plan.seconds = load_duration_s;
    return plan;
}

struct stop_result {
    load::load_summary reads;
    load::load_summary bookings;
    /// Requests refused for the rate, although the load is far below the team's rate.
    std::size_t over_rate{0};
    std::string outcome_tables;
    int exit_status{-1};
    bool outcomes_handed_over{false};
};

/// Starts three hosts that serve one team and waits until its token bucket has filled.
std::unique_ptr<fleet> start_serving_fleet(std::string_view settings) {
    fleet_options options;
    options.extra_settings = settings;
    auto it = start_fleet(options);
    REQUIRE(it);
    REQUIRE(create_teams(*it, {"kite"}, 1000, 300));
    for (const auto& endpoint : it->endpoints) {
        send_test_request(*it, endpoint.address, "POST", "/control?service_ms=20&slots=64");
    }
    const auto serves = [&] {
        const auto response = send_test_request(*it, it->hosts[1].request_address, "GET", "/forecast",
                                                {{"x-team-key", "key-of-kite"}});
        return response && response->status == 200;
    };
    REQUIRE(wait_until(milliseconds(10'000), serves));
    // The team's token bucket starts empty and fills in 300 ms: burst 300 requests, rate 1000 requests per
    // second.
    std::this_thread::sleep_for(milliseconds(300));
    return it;
}

std::size_t count_over_rate(std::span<const load::request_result> ends) {
    const auto is_over_rate = [](const load::request_result& end) { return end.reason == "rate"; };
    return static_cast<std::size_t>(std::count_if(ends.begin(), ends.end(), is_over_rate));
}

/// Stops one of three hosts by SIGTERM while callers choose their hosts by look-up responses.
stop_result stop_under_load(std::string_view settings) {
    const auto it = start_serving_fleet(settings);
    std::vector<load::request_result> reads;
    std::vector<load::request_result> bookings;
    std::thread reader([&] { reads = load::run_load(plan_for(*it, "GET", "/forecast", 100)); });
    std::thread booker([&] { bookings = load::run_load(plan_for(*it, "POST", "/bookings", 30)); });
    std::this_thread::sleep_for(stop_delay);
    stop_result result;
    auto& stopped = it->hosts[0].process;
    result.exit_status = stop_child(stopped);
    reader.join();
    booker.join();
    result.reads = load::summarize(reads);
    result.bookings = load::summarize(bookings);
    result.outcome_tables = load::outcome_table(reads) + load::outcome_table(bookings);
    result.over_rate = count_over_rate(reads) + count_over_rate(bookings);
    result.outcomes_handed_over = read_log(stopped).find("outcomes_handed_over") != std::string::npos;
    return result;
}

/// Requests that failed for another reason than the rate.
std::size_t count_failed_requests(const stop_result& result) {
    const auto count_unanswered = [](const load::load_summary& it) {
        return it.not_run + it.unknown + it.not_sent;
    };
    return count_unanswered(result.reads) + count_unanswered(result.bookings) - result.over_rate;
}

/// Result of one stop under load with default settings, which the tests share.
const stop_result& graceful_stop_result() {
    static const auto result = stop_under_load("");
    return result;
}

} // namespace

TEST_SUITE_BEGIN("graceful_stop");

TEST_CASE(
    "a graceful stop fails no request and hands its outcomes over; a stop without drain time fails some") {
    const auto& graceful = graceful_stop_result();
    MESSAGE("graceful: reads ", load::summary_line(graceful.reads), "; bookings ",
            load::summary_line(graceful.bookings), "\n", graceful.outcome_tables);
    CHECK(graceful.exit_status == 0);
    CHECK(graceful.outcomes_handed_over);
    CHECK(graceful.reads.answered > 0);
    CHECK(graceful.bookings.answered > 0);
    CHECK(count_failed_requests(graceful) == 0);

    const auto at_once = stop_under_load("[callers]\ndrain_time = 0\n");
    MESSAGE("at once: reads ", load::summary_line(at_once.reads), "; bookings ",
            load::summary_line(at_once.bookings), "\n", at_once.outcome_tables);
    CHECK(count_failed_requests(at_once) > 0);
}

TEST_CASE("a graceful stop refuses no request within its team's rate") {
    CHECK(graceful_stop_result().over_rate == 0);
}

TEST_SUITE_END();

} // namespace lycheegap::failure_tests
