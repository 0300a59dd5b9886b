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

constexpr double seconds = 13;
constexpr auto stop_after = milliseconds(2000);

load::load_plan plan_for(const fleet& it, const std::string& method, const std::string& path, double rate) {
    load::load_plan plan;
    for (const auto& host : it.hosts) {
        plan.lookup_addresses.push_back(host.lookup);
    }
    plan.key = "key-of-kite";
    plan.method = method;
    plan.path = path;
    plan.rate = rate;
    plan.seconds = seconds;
    return plan;
}

struct stop_result {
    load::load_summary reads;
    load::load_summary bookings;
    /// Refusals for the rate, of which the load is far below.
    std::size_t over_rate{0};
    std::string reasons;
    int exit_status{-1};
    bool handed_over{false};
};

/// Three hosts that serve one team; waits until its bucket has filled.
std::unique_ptr<fleet> start_serving_fleet(std::string_view settings) {
    fleet_options options;
    options.extra_settings = settings;
    auto it = start_fleet(options);
    REQUIRE(it);
    REQUIRE(set_up_teams(*it, {"kite"}, 1000, 300));
    for (const auto& endpoint : it->endpoints) {
        ask(*it, endpoint.address, "POST", "/control?service_ms=20&slots=64");
    }
    const auto serves = [&] {
        const auto answer =
            ask(*it, it->hosts[1].request, "GET", "/forecast", {{"x-team-key", "key-of-kite"}});
        return answer && answer->status == 200;
    };
    REQUIRE(wait_until(milliseconds(10'000), serves));
    // The team's bucket starts empty.
    std::this_thread::sleep_for(milliseconds(300));
    return it;
}

std::size_t count_over_rate(std::span<const load::request_end> ends) {
    const auto is_over_rate = [](const load::request_end& end) { return end.reason == "rate"; };
    return static_cast<std::size_t>(std::count_if(ends.begin(), ends.end(), is_over_rate));
}

/// One host of three is stopped as planned while callers follow look-up answers.
stop_result stop_under_load(std::string_view settings) {
    const auto it = start_serving_fleet(settings);
    std::vector<load::request_end> reads;
    std::vector<load::request_end> bookings;
    std::thread reader([&] { reads = load::run_load(plan_for(*it, "GET", "/forecast", 100)); });
    std::thread booker([&] { bookings = load::run_load(plan_for(*it, "POST", "/bookings", 30)); });
    std::this_thread::sleep_for(stop_after);
    stop_result result;
    auto& stopped = it->hosts[0].process;
    result.exit_status = stop_child(stopped);
    reader.join();
    booker.join();
    result.reads = load::summarize(reads);
    result.bookings = load::summarize(bookings);
    result.reasons = load::outcome_table(reads) + load::outcome_table(bookings);
    result.over_rate = count_over_rate(reads) + count_over_rate(bookings);
    result.handed_over = read_log(stopped).find("outcomes_handed_over") != std::string::npos;
    return result;
}

/// Everything but answers and refusals for the rate.
std::size_t cut_requests(const stop_result& result) {
    const auto all = [](const load::load_summary& it) { return it.not_run + it.unknown + it.not_sent; };
    return all(result.reads) + all(result.bookings) - result.over_rate;
}

const stop_result& graceful_stop() {
    static const auto result = stop_under_load("");
    return result;
}

} // namespace

TEST_SUITE_BEGIN("graceful_stop");

TEST_CASE("a planned stop cuts no request and passes its memory on; stopping at once cuts some") {
    const auto& graceful = graceful_stop();
    MESSAGE("graceful: reads ", load::summary_line(graceful.reads), "; bookings ",
            load::summary_line(graceful.bookings), "\n", graceful.reasons);
    CHECK(graceful.exit_status == 0);
    CHECK(graceful.handed_over);
    CHECK(graceful.reads.answered > 0);
    CHECK(graceful.bookings.answered > 0);
    CHECK(cut_requests(graceful) == 0);

    const auto at_once = stop_under_load("[callers]\ndrain_time = 0\n");
    MESSAGE("at once: reads ", load::summary_line(at_once.reads), "; bookings ",
            load::summary_line(at_once.bookings), "\n", at_once.reasons);
    CHECK(cut_requests(at_once) > 0);
}

TEST_CASE("a planned stop refuses no request inside its team's rate") {
    CHECK(graceful_stop().over_rate == 0);
}

TEST_SUITE_END();

} // namespace lycheegap::failure_tests
