#include <doctest/doctest.h>

#include "core/execution/attempt.h"
#include "core/execution/caller_key.h"

namespace lycheegap::execution {

namespace {

using catalog::work_class;

const common::time_point start{common::milliseconds(1'000'000)};

attempt_state fresh(work_class work) {
    return {work, 0, 3, start + common::milliseconds(1000), false};
}

} // namespace

TEST_CASE("a head without a key stays as it is") {
    for (const std::string query : {"&", "a=1&", "&&a", "a&&b", ""}) {
        request_head head{"GET", "/", query, {{"Cookie", ""}, {"cookie", "a=1; "}}};
        CHECK_FALSE(take_key(head));
        CHECK(head.query == query);
        REQUIRE(head.headers.size() == 2);
        CHECK(head.headers[1].value == "a=1; ");
    }
}

TEST_CASE("the key is removed wherever it stands") {
    request_head head{"GET",
                      "/",
                      "a=1&team%5Fkey=in%20query&b=2",
                      {{"X-Team-Key", " k "}, {"Cookie", "s=1; team_key=c; t=2"}}};
    CHECK(take_key(head) == "k");
    CHECK(head.query == "a=1&b=2");
    REQUIRE(head.headers.size() == 1);
    CHECK(head.headers[0].value == "s=1; t=2");
    CHECK_FALSE(take_key(head));
}

TEST_CASE("the query's key goes before the cookie's") {
    request_head head{"GET", "/", "team_key=in%20query", {{"cookie", "team_key=c"}}};
    CHECK(take_key(head) == "in query");
    CHECK(head.query.empty());
    CHECK(head.headers.empty());
}

TEST_CASE("lost non-idempotent work is not tried again") {
    auto state = fresh(work_class::once);
    CHECK(after_attempt(state, attempt_result::shed, start) == next_action::try_again);
    CHECK(after_attempt(state, attempt_result::not_sent, start) == next_action::try_again);
    CHECK(after_attempt(state, attempt_result::lost, start) == next_action::refuse_unknown);
}

TEST_CASE("not run is said only when no attempt may have run") {
    auto state = fresh(work_class::interactive);
    CHECK(after_attempt(state, attempt_result::lost, start) == next_action::try_again);
    CHECK(after_attempt(state, attempt_result::shed, start) == next_action::try_again);
    CHECK(after_attempt(state, attempt_result::shed, start) == next_action::refuse_unknown);
    auto late = fresh(work_class::once);
    CHECK(after_attempt(late, attempt_result::shed, late.deadline) == next_action::refuse_not_run);
}

} // namespace lycheegap::execution
