#include <algorithm>
#include <random>

#include <doctest/doctest.h>

#include "core/execution/retry.h"

namespace lycheegap::execution {

namespace {

constexpr int deadline_ms = 10'000;
constexpr int whole_percent = 100;

struct window_result {
    int answered{0};
    double slot_seconds{0};
};

/// Requests whose first attempt is lost early; a retry takes a time with a long tail. The plain window only
/// decides whether a retry may start; the retry deadline also cancels it.
window_result run_window(bool cancels, int window_percent, std::uint64_t requests) {
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> lost_at_ms(0, 5000);
    std::lognormal_distribution<double> service_ms(6, 1.5);
    window_result result;
    for (std::uint64_t n = 0; n < requests; ++n) {
        const double from = lost_at_ms(random) + static_cast<double>(retry_pause({}, 1, random).count());
        const double needs = service_ms(random);
        const double window_ms = deadline_ms * window_percent / 100.0;
        if (from >= window_ms) {
            continue;
        }
        const double ends_at = from + needs;
        const double cut_at = cancels ? window_ms : deadline_ms;
        result.answered += ends_at <= cut_at ? 1 : 0;
        result.slot_seconds += (std::min(ends_at, cut_at) - from) / 1000;
    }
    return result;
}

} // namespace

TEST_CASE("retries are bounded to a share of first attempts") {
    const retry_limits limits;
    retry_budget budget;
    int retries = 0;
    for (int n = 0; n < 1000; ++n) {
        earn_retry(budget, limits);
        // Every attempt fails, and all want another one.
        while (spend_retry(budget)) {
            ++retries;
        }
    }
    CHECK(retries <= 1000 * limits.budget_percent / whole_percent);
    CHECK(retries > 0);
}

TEST_CASE("pauses have full jitter under a ceiling") {
    const retry_limits limits;
    std::mt19937_64 random(1);
    for (int retry = 1; retry < 40; ++retry) {
        const auto widest = std::min<std::int64_t>(limits.longest_pause.count(),
                                                   limits.first_pause.count() << std::min(retry - 1, 20));
        std::int64_t longest = 0;
        for (int n = 0; n < 300; ++n) {
            const auto pause = retry_pause(limits, retry, random).count();
            REQUIRE(pause >= 0);
            REQUIRE(pause <= widest);
            longest = std::max(longest, pause);
        }
        CHECK(longest > widest / 2);
    }
}

TEST_CASE("a retry deadline against a plain window") {
    constexpr std::uint64_t requests = 100'000;
    for (const int window_percent : {50, 75, 100}) {
        const auto plain = run_window(false, window_percent, requests);
        const auto cut = run_window(true, window_percent, requests);
        MESSAGE("window ", window_percent, "% of the deadline: plain answered ", plain.answered, " with ",
                plain.slot_seconds, " slot seconds; cancelling answered ", cut.answered, " with ",
                cut.slot_seconds);
        CHECK(plain.answered >= cut.answered);
    }
}

} // namespace lycheegap::execution
