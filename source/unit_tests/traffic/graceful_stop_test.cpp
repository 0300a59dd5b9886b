#include "core/traffic/graceful_stop.h"

#include <doctest/doctest.h>

namespace lycheegap::traffic {

namespace {

using common::milliseconds;

const common::time_point begin{std::chrono::seconds(1000)};
constexpr milliseconds stop_length{10'000};

stop_candidate candidate(milliseconds target, milliseconds time_left, bool idempotent,
                         common::time_point now) {
    return {.idempotent = idempotent, .target_latency = target, .response_deadline = now + time_left};
}

} // namespace

TEST_CASE(
    "a stopping host takes a request in each tenth of the stop only if its answer fits before the end") {
    const auto plan = plan_stop(begin, stop_length);
    CHECK(plan.idle_close_at < plan.intake_end);
    CHECK(plan.intake_end < plan.drain_end);
    CHECK(plan.drain_end < plan.flush_end);
    CHECK(plan.flush_end < begin + stop_length);
    for (int tenth = 0; tenth < 10; ++tenth) {
        CAPTURE(tenth);
        const auto now = begin + stop_length * tenth / 10;
        const milliseconds left = std::chrono::duration_cast<milliseconds>(plan.drain_end - now);
        // Its deadline passes before the drain ends.
        CHECK(may_take(plan, candidate(milliseconds(5000), left, false, now), now));
        // Answers that take twice their target fit, or the request is refused.
        for (const bool idempotent : {true, false}) {
            const auto request = candidate(milliseconds(1000), milliseconds(20'000), idempotent, now);
            CHECK((!may_take(plan, request, now) || now + milliseconds(2000) <= plan.drain_end));
        }
    }
}

TEST_CASE("a stopping host refuses work that must not be repeated earlier than reads") {
    const auto plan = plan_stop(begin, stop_length);
    const auto now = begin + milliseconds(4000);
    CHECK(may_take(plan, candidate(milliseconds(1000), milliseconds(20'000), true, now), now));
    CHECK_FALSE(may_take(plan, candidate(milliseconds(1000), milliseconds(20'000), false, now), now));
    const auto late = begin + milliseconds(7000);
    CHECK_FALSE(may_take(plan, candidate(milliseconds(1000), milliseconds(20'000), true, late), late));
}

TEST_CASE("a stopping host ends when nothing has been in flight for a while, or when its time is over") {
    const auto plan = plan_stop(begin, stop_length);
    drain_progress progress;
    CHECK_FALSE(may_end(plan, progress, plan.intake_end));
    note_in_flight(progress, 0, plan.intake_end);
    CHECK_FALSE(may_end(plan, progress, plan.intake_end + milliseconds(50)));
    // A request that arrives meanwhile is waited for.
    note_in_flight(progress, 1, plan.intake_end + milliseconds(60));
    CHECK_FALSE(may_end(plan, progress, plan.intake_end + milliseconds(1000)));
    note_in_flight(progress, 0, plan.intake_end + milliseconds(1000));
    CHECK_FALSE(may_end(plan, progress, plan.intake_end + milliseconds(1050)));
    CHECK(may_end(plan, progress, plan.intake_end + milliseconds(1100)));
    note_in_flight(progress, 1, plan.drain_end);
    CHECK_FALSE(may_end(plan, progress, plan.drain_end));
    CHECK(may_end(plan, progress, begin + stop_length));
}

} // namespace lycheegap::traffic
