#include <csignal>
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
    std::string reasons;
    int exit_status{-1};
    bool handed_over{false};
};

/// One host of three is stopped as planned while callers follow look-up answers.
stop_result stop_under_load(std::string_view settings) {
    fleet_options options;
    options.extra_settings = settings;
    const auto it = start_fleet(options);
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
    result.handed_over = read_log(stopped).find("outcomes_handed_over") != std::string::npos;
    return result;
}

std::size_t cut_requests(const load::load_summary& summary) {
    return summary.not_run + summary.unknown + summary.not_sent;
}

} // namespace

TEST_SUITE_BEGIN("graceful_stop");

TEST_CASE("a planned stop cuts no request and passes its memory on; stopping at once cuts some") {
    const auto graceful = stop_under_load("");
    MESSAGE("graceful: reads ", load::summary_line(graceful.reads), "; bookings ",
            load::summary_line(graceful.bookings), "\n", graceful.reasons);
    CHECK(graceful.exit_status == 0);
    CHECK(graceful.handed_over);
    CHECK(graceful.reads.answered > 0);
    CHECK(graceful.bookings.answered > 0);
    CHECK(cut_requests(graceful.reads) == 0);
    CHECK(cut_requests(graceful.bookings) == 0);

    const auto at_once = stop_under_load("[callers]\ndrain_time = 0\n");
    MESSAGE("at once: reads ", load::summary_line(at_once.reads), "; bookings ",
            load::summary_line(at_once.bookings), "\n", at_once.reasons);
    CHECK(cut_requests(at_once.reads) + cut_requests(at_once.bookings) > 0);
}

TEST_SUITE_END();

} // namespace lycheegap::failure_tests
