#include <doctest/doctest.h>

#include "core/execution/attempt.h"
#include "core/execution/caller_key.h"

namespace lycheegap::execution {

namespace {

using catalog::work_class;

const common::time_point start{common::milliseconds(1'000'000)};

attempt_state new_request(work_class work) {
    return {work, 0, 3, start + common::milliseconds(1000), false};
}

} // namespace

TEST_CASE("a request without a key is unchanged") {
    for (const std::string query : {"&", "a=1&", "&&a", "a&&b", ""}) {
        request_head head{"GET", "/", query, {{"Cookie", ""}, {"cookie", "a=1; "}}};
        CHECK_FALSE(extract_key(head));
        CHECK(head.query == query);
        REQUIRE(head.headers.size() == 2);
        CHECK(head.headers[1].value == "a=1; ");
    }
}

TEST_CASE("the key is removed from header, query and cookie") {
    request_head head{"GET",
                      "/",
                      "a=1&team%5Fkey=in%20query&b=2",
                      {{"X-Team-Key", " k "}, {"Cookie", "s=1; team_key=c; t=2"}}};
    CHECK(extract_key(head) == "k");
    CHECK(head.query == "a=1&b=2");
    REQUIRE(head.headers.size() == 1);
    CHECK(head.headers[0].value == "s=1; t=2");
    CHECK_FALSE(extract_key(head));
}

TEST_CASE("a key in the query has precedence over one in a cookie") {
    request_head head{"GET", "/", "team_key=in%20query", {{"cookie", "team_key=c"}}};
    CHECK(extract_key(head) == "in query");
    CHECK(head.query.empty());
    CHECK(head.headers.empty());
}

TEST_CASE("a non-idempotent request is not tried again after a lost attempt") {
    auto state = new_request(work_class::once);
    CHECK(after_attempt(state, attempt_result::shed, start) == next_action::try_again);
    CHECK(after_attempt(state, attempt_result::not_sent, start) == next_action::try_again);
    CHECK(after_attempt(state, attempt_result::lost, start) == next_action::refuse_unknown);
}

TEST_CASE("a refusal reports 'not run' only if no attempt may have run") {
    auto state = new_request(work_class::interactive);
    CHECK(after_attempt(state, attempt_result::lost, start) == next_action::try_again);
    CHECK(after_attempt(state, attempt_result::shed, start) == next_action::try_again);
    CHECK(after_attempt(state, attempt_result::shed, start) == next_action::refuse_unknown);
    auto late = new_request(work_class::once);
    CHECK(after_attempt(late, attempt_result::shed, late.deadline) == next_action::refuse_not_run);
}

} // namespace lycheegap::execution
