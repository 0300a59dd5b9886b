#include <cstdio>
#include <string>

#include <doctest/doctest.h>

#include "fleet_model.h"

namespace lycheegap::allowance::model {

namespace {

constexpr std::uint64_t table_seed = 7;
constexpr double requests = 18'000;

/// Three regions, 24 hosts, steady skew, 90% of the rate.
history_options steady(method how, double rate, double burst) {
    history_options it;
    it.how = how;
    it.seed = table_seed;
    it.hosts = 24;
    it.limits = {rate, burst};
    it.load = rate * 0.9;
    it.skew = 0.5;
    it.length = requests / it.load;
    return it;
}

double refused_percent(const history_result& it) {
    return 100.0 * (it.refused + it.unreachable) / it.requests;
}

void print_row(const std::string& name, const history_result& it) {
    std::printf("%-28s refused %7.3f%%  waited %5.1f%%  mean wait %4.0f ms  most %4.0f ms  messages per "
                "request %.1f\n",
                name.c_str(), refused_percent(it), 100.0 * it.waited / it.requests,
                it.waited > 0 ? 1000 * it.wait_sum / it.waited : 0.0, 1000 * it.wait_most,
                static_cast<double>(it.messages) / it.requests);
}

/// Prints three rows and returns the excess over the ideal bucket, in percent of requests.
double excess_of(double rate, double burst) {
    const auto central = run_history(steady(method::central, rate, burst));
    const auto loans = run_history(steady(method::loans, rate, burst));
    const auto parts = run_history(steady(method::equal_parts, rate, burst));
    std::printf("rate %.0f burst %.0f, seed %d\n", rate, burst, static_cast<int>(table_seed));
    print_row("  one ideal bucket", central);
    print_row("  loans", loans);
    print_row("  equal parts", parts);
    CHECK(loans.least >= 0);
    CHECK(refused_percent(parts) > refused_percent(loans) + 5);
    return refused_percent(loans) - refused_percent(central);
}

} // namespace

TEST_SUITE("fleet_rate") {
    TEST_CASE("in-rate refusals above those of one ideal bucket: under 0.1% at burst 50 and above") {
        for (const double rate : {20.0, 50.0, 100.0}) {
            CHECK(excess_of(rate, 50) < 0.1);
            CHECK(excess_of(rate, 100) < 0.1);
        }
    }

    TEST_CASE("in-rate refusals above those of one ideal bucket: under 1% at burst 10") {
        CHECK(excess_of(10, 10) < 1);
        // At these rates the tokens on their way between regions are a great part of the burst: printed, no
        // bound.
        for (const double rate : {20.0, 50.0, 100.0}) {
            excess_of(rate, 10);
        }
    }

    TEST_CASE("in-rate refusals over the 30 s in which a host dies") {
        auto options = steady(method::loans, 50, 50);
        options.length = 30;
        options.other_dies_at = 5;
        const auto other = run_history(options);
        print_row("another team's home dies", other);
        CHECK(refused_percent(other) < 1);
        options.other_dies_at = -1;
        options.home_dies_at = 5;
        const auto own = run_history(options);
        print_row("own home dies, store up", own);
        CHECK(own.least >= 0);
        options.store_down = true;
        const auto down = run_history(options);
        print_row("own home dies, store down", down);
        CHECK(down.least >= 0);
    }
}

} // namespace lycheegap::allowance::model
