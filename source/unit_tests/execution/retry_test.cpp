#include <algorithm>
#include <random>

#include <doctest/doctest.h>

#include "core/execution/retry.h"

namespace lycheegap::execution {

namespace {

constexpr int deadline_ms = 10'000;
constexpr int percent = 100;

struct window_result {
    int answered{0};
    double slot_seconds{0};
};

/// Simulates requests whose first attempt is lost early and whose retry has a long-tailed service time. The
/// window always limits when a retry may start; with `cancels` it is also the deadline of the retry.
window_result simulate_window(bool cancels, int window_percent, std::uint64_t requests) {
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> lost_at_ms(0, 5000);
    std::lognormal_distribution<double> service_ms(6, 1.5);
    window_result result;
    for (std::uint64_t n = 0; n < requests; ++n) {
        const double started_at_ms =
            lost_at_ms(random) + static_cast<double>(retry_pause({}, 1, random).count());
        const double service_time_ms = service_ms(random);
        const double window_ms = deadline_ms * window_percent / 100.0;
        if (started_at_ms >= window_ms) {
            continue;
        }
        const double ends_at_ms = started_at_ms + service_time_ms;
        const double stopped_at_ms = cancels ? window_ms : deadline_ms;
        result.answered += ends_at_ms <= stopped_at_ms ? 1 : 0;
        result.slot_seconds += (std::min(ends_at_ms, stopped_at_ms) - started_at_ms) / 1000;
    }
    return result;
}

} // namespace

TEST_CASE("the budget limits retries to a percentage of first attempts") {
    const retry_limits limits;
    retry_budget budget;
    int retries = 0;
    for (int n = 0; n < 1000; ++n) {
        deposit_retry(budget, limits);
        // Every attempt fails, so every retry that the budget allows is made.
        while (try_withdraw_retry(budget)) {
            ++retries;
        }
    }
    CHECK(retries <= 1000 * limits.budget_percent / percent);
    CHECK(retries > 0);
}

TEST_CASE("retry pauses have full jitter up to the maximum backoff") {
    const retry_limits limits;
    std::mt19937_64 random(1);
    for (int retry = 1; retry < 40; ++retry) {
        const auto upper_bound = std::min<std::int64_t>(
            limits.max_backoff.count(), limits.initial_backoff.count() << std::min(retry - 1, 20));
        std::int64_t longest = 0;
        for (int n = 0; n < 300; ++n) {
            const auto pause = retry_pause(limits, retry, random).count();
            REQUIRE(pause >= 0);
            REQUIRE(pause <= upper_bound);
            longest = std::max(longest, pause);
        }
        CHECK(longest > upper_bound / 2);
    }
}

TEST_CASE("cancelling retries at the end of the window answers no more requests than letting them finish") {
    constexpr std::uint64_t requests = 100'000;
    for (const int window_percent : {50, 75, 100}) {
        const auto starting_only = simulate_window(false, window_percent, requests);
        const auto cancelling = simulate_window(true, window_percent, requests);
        MESSAGE("window ", window_percent, "% of the deadline: limiting only the start answered ",
                starting_only.answered, " with ", starting_only.slot_seconds,
                " slot seconds; cancelling answered ", cancelling.answered, " with ",
                cancelling.slot_seconds);
        CHECK(starting_only.answered >= cancelling.answered);
    }
}

} // namespace lycheegap::execution
