#include "core/traffic/second_attempt.h"

#include <doctest/doctest.h>

namespace lycheegap::traffic {

using common::milliseconds;

namespace {

const common::time_point sent_at{std::chrono::hours(1)};

/// A read for which a second attempt may be sent at `sent_at`.
overdue_request sendable() {
    return {.idempotent = true,
            .attempts = 1,
            .attempt_limit = 2,
            .has_spare_budget = true,
            .target_latency = milliseconds(400),
            .sent_at = sent_at,
            .response_deadline = sent_at + milliseconds(3000)};
}

second_attempt decision_with(void (*change)(overdue_request&)) {
    auto request = sendable();
    change(request);
    return decide_second_attempt(request, sent_at);
}

} // namespace

TEST_CASE("an answer is overdue after three times the target latency, and not before 800 ms") {
    CHECK(overdue_at(sent_at, milliseconds(400)) == sent_at + milliseconds(1200));
    CHECK(overdue_at(sent_at, milliseconds(100)) == sent_at + milliseconds(800));
    CHECK(overdue_at(sent_at, milliseconds(0)) == sent_at + milliseconds(800));
}

TEST_CASE("a second attempt is sent only if all that it needs is there when the answer is overdue") {
    CHECK(decide_second_attempt(sendable(), sent_at) == second_attempt::send);
    CHECK(decision_with([](auto& it) { it.idempotent = false; }) == second_attempt::not_idempotent);
    CHECK(decision_with([](auto& it) { it.attempts = 2; }) == second_attempt::attempt_limit);
    CHECK(decision_with([](auto& it) { it.stopping = true; }) == second_attempt::stopping);
    CHECK(decision_with([](auto& it) { it.waits_in_queue = true; }) == second_attempt::waits_in_queue);
    CHECK(decision_with([](auto& it) { it.has_spare_budget = false; }) == second_attempt::retry_budget);
    CHECK(decide_second_attempt(sendable(), sent_at + milliseconds(2600)) == second_attempt::send);
    CHECK(decide_second_attempt(sendable(), sent_at + milliseconds(2601)) == second_attempt::too_late);
}

TEST_CASE("a decision against a second attempt is made again only where its reason can pass") {
    for (const auto decision :
         {second_attempt::waits_in_queue, second_attempt::retry_budget, second_attempt::no_endpoint}) {
        CHECK(may_change(decision));
    }
    for (const auto decision : {second_attempt::not_idempotent, second_attempt::attempt_limit,
                                second_attempt::stopping, second_attempt::too_late}) {
        CHECK_FALSE(may_change(decision));
    }
}

TEST_CASE("an endpoint counts as queueing only by a report that it sent after the request") {
    const auto now = sent_at + milliseconds(500);
    endpoint_state endpoint;
    CHECK_FALSE(reported_queue_since(endpoint, sent_at, now));
    note_report(endpoint, {.running = 6, .waiting = 3}, sent_at - milliseconds(1));
    CHECK_FALSE(reported_queue_since(endpoint, sent_at, now));
    note_report(endpoint, {.running = 6, .waiting = 0}, sent_at + milliseconds(1));
    CHECK_FALSE(reported_queue_since(endpoint, sent_at, now));
    note_report(endpoint, {.running = 6, .waiting = 1}, sent_at + milliseconds(2));
    CHECK(reported_queue_since(endpoint, sent_at, now));
}

TEST_CASE("a queue is waited for no longer than its endpoint reports it, and not until the response is due") {
    endpoint_state endpoint;
    note_report(endpoint, {.running = 6, .waiting = 3}, sent_at + milliseconds(100));
    CHECK(reported_queue_since(endpoint, sent_at, sent_at + milliseconds(1100)));
    CHECK_FALSE(reported_queue_since(endpoint, sent_at, sent_at + milliseconds(1101)));
    auto request = sendable();
    request.waits_in_queue = true;
    CHECK(decide_second_attempt(request, sent_at + milliseconds(2399)) == second_attempt::waits_in_queue);
    CHECK(decide_second_attempt(request, sent_at + milliseconds(2400)) == second_attempt::send);
}

} // namespace lycheegap::traffic
