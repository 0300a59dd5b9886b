#include "core/traffic/work_cost.h"

#include <random>

#include <doctest/doctest.h>

namespace lycheegap::traffic {

namespace {

work_kind make_kind(std::string_view object, std::string_view route = "read") {
    return {.service = "desk",
            .route = route,
            .object_key = object,
            .target_latency = common::milliseconds(1500)};
}

/// Notes answers of which the share is cached, with a spread of times and a tail.
void note_answers(work_costs& costs, int answers, double uncached_ms, double cached_share,
                  std::mt19937_64& random) {
    for (int n = 0; n < answers; ++n) {
        const bool cached = std::bernoulli_distribution(cached_share)(random);
        const double tail = std::bernoulli_distribution(0.03)(random) ? 7 : 1;
        const double spread = std::normal_distribution<double>(1, 0.15)(random);
        note_work(costs, {.kind = make_kind("object"),
                          .run_ms = uncached_ms * (cached ? 0.3 : 1) * spread * tail,
                          .rank = 0});
    }
}

} // namespace

TEST_CASE("the costs of cached and uncached objects are told apart, whatever their share") {
    for (const double uncached_ms : {40.0, 700.0, 5000.0}) {
        for (const double share : {0.2, 0.5, 0.9}) {
            CAPTURE(uncached_ms);
            CAPTURE(share);
            std::mt19937_64 random(7);
            work_costs costs;
            note_answers(costs, 600, uncached_ms, share, random);
            const auto work = expect_work(costs, make_kind("other"), 0);
            // The tail adds 18 % to the mean of each.
            CHECK(work.uncached_ms > uncached_ms * 0.8);
            CHECK(work.uncached_ms < uncached_ms * 1.7);
            CHECK(work.cached_ms > uncached_ms * 0.3 * 0.8);
            CHECK(work.cached_ms < uncached_ms * 0.3 * 1.5);
        }
    }
}

TEST_CASE("the costs follow a change of the work") {
    std::mt19937_64 random(7);
    work_costs costs;
    note_answers(costs, 2000, 400, 0.5, random);
    note_answers(costs, 1500, 1600, 0.5, random);
    const auto work = expect_work(costs, make_kind("other"), 0);
    CHECK(work.uncached_ms > 1600 * 0.8);
    CHECK(work.cached_ms > 480 * 0.8);
}

TEST_CASE("a single outlier does not move the expectation much") {
    std::mt19937_64 random(7);
    work_costs costs;
    note_answers(costs, 400, 700, 0.5, random);
    const auto before = expect_work(costs, make_kind("other"), 0);
    note_work(costs, {.kind = make_kind("object"), .run_ms = 1e9, .rank = 0});
    note_answers(costs, 8, 700, 0.5, random);
    const auto after = expect_work(costs, make_kind("other"), 0);
    CHECK(after.uncached_ms < before.uncached_ms * 1.25);
}

TEST_CASE(
    "the share of cached answers is learned by rank, and for an object that is known by its own answers") {
    work_costs costs;
    for (int n = 0; n < 200; ++n) {
        note_work(costs, {.kind = make_kind("busy"), .run_ms = 500, .rank = 1});
        note_work(costs, {.kind = make_kind(std::to_string(n)), .run_ms = 1700, .rank = 1});
    }
    const auto busy = expect_work(costs, make_kind("busy"), 1);
    const auto other = expect_work(costs, make_kind("other"), 1);
    CHECK(busy.cached_probability > other.cached_probability + 0.2);
    // Whatever the answers: the first ranks stay preferred, or no endpoint would keep the object.
    const auto forecast = forecast_work(costs, make_kind("other"));
    CHECK(forecast.cached_probability[0] > forecast.cached_probability[1]);
    CHECK(forecast.cached_probability[1] > forecast.cached_probability[ranked_endpoints]);
}

TEST_CASE("requests without an object have one cost") {
    work_costs costs;
    for (int n = 0; n < 100; ++n) {
        CHECK(note_work(costs, {.kind = make_kind(""), .run_ms = 250, .rank = 0}) == answer_class::unknown);
    }
    const auto work = expect_work(costs, make_kind(""), ranked_endpoints);
    CHECK(work.cached_ms == work.uncached_ms);
    CHECK(mean_ms(work) > 200);
    CHECK(mean_ms(work) < 300);
}

TEST_CASE("the tables do not grow beyond their limits") {
    work_costs costs;
    for (int n = 0; n < 20'000; ++n) {
        const auto name = std::to_string(n);
        note_work(costs, {.kind = make_kind(name, name), .run_ms = 100, .rank = 0});
    }
    CHECK(costs.classes.size() == max_work_classes);
    CHECK(costs.objects.size() == max_objects);
}

} // namespace lycheegap::traffic
