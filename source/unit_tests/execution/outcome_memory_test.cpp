#include <doctest/doctest.h>

#include "core/execution/outcome_memory.h"

namespace lycheegap::execution {

namespace {

using common::milliseconds;

constexpr std::uint64_t incarnation = 0xfeed;
constexpr std::uint64_t fingerprint = 7;
const common::time_point start{milliseconds(1'000'000)};
const memory_limits limits{100, 100'000, 50, milliseconds(60'000), 1000};

outcome_memory new_memory() {
    return make_outcome_memory(incarnation, start, limits);
}

request_id id_at(const outcome_memory& memory, common::time_point now, std::uint64_t counter) {
    return {issue_ticket(memory, 99, now), counter};
}

} // namespace

TEST_SUITE_BEGIN("at_most_once");

TEST_CASE("an id has exactly one text form") {
    const request_id id{{incarnation, 1234, 42}, 7};
    const auto text = format_request_id(id);
    CHECK(text == "000000000000feed-0000000004d2-000000000000002a.7");
    CHECK(parse_request_id(text) == id);
    for (const auto* bad : {"", "7", "000000000000feed-0000000004d2-000000000000002a.",
                            "000000000000feed-0000000004d2-000000000000002a.07",
                            "000000000000FEED-0000000004d2-000000000000002a.7",
                            "000000000000feed-0000000004d2-000000000000002a.-7",
                            "000000000000feed-0000000004d2-000000000000002a.7 ",
                            "000000000000feed_0000000004d2-000000000000002a.7",
                            "00000000000feed-00000000004d2-000000000000002a.7",
                            "000000000000feed-0000000004d2-000000000000002a.9999999999999999999"}) {
        CAPTURE(bad);
        CHECK_FALSE(parse_request_id(bad));
    }
    CHECK(is_plain_id("load1.5"));
    CHECK_FALSE(is_plain_id("a b"));
    CHECK_FALSE(is_plain_id(std::string(129, 'a')));
}

TEST_CASE("a repeated request waits, then gets the stored outcome") {
    auto memory = new_memory();
    const auto id = id_at(memory, start, 1);
    CHECK(begin_request(memory, id, fingerprint, "kite", start) == id_verdict::run);
    CHECK(begin_request(memory, id, fingerprint, "kite", start) == id_verdict::wait);
    finish_request(memory, id, outcome_state::answered, {200, {}, "booked"});
    CHECK(begin_request(memory, id, fingerprint, "kite", start) == id_verdict::remembered);
    CHECK(find_outcome(memory, id)->answer.body == "booked");
    CHECK(begin_request(memory, id, fingerprint + 1, "kite", start) == id_verdict::mismatch);
    CHECK(begin_request(memory, id, fingerprint, "surf", start) == id_verdict::mismatch);
}

TEST_CASE("an id is kept until it expires, then removed and refused as expired") {
    auto memory = new_memory();
    const auto id = id_at(memory, start, 1);
    REQUIRE(begin_request(memory, id, fingerprint, "kite", start) == id_verdict::run);
    finish_request(memory, id, outcome_state::answered, {200, {}, ""});
    const auto last = start + limits.lifetime - milliseconds(1);
    forget_expired(memory, last);
    CHECK(begin_request(memory, id, fingerprint, "kite", last) == id_verdict::remembered);
    forget_expired(memory, last + milliseconds(1));
    CHECK(memory.entries.empty());
    CHECK(memory.bytes == 0);
    CHECK(begin_request(memory, id, fingerprint, "kite", last + milliseconds(1)) == id_verdict::expired);
    CHECK(resolve_request_outcome(memory, id, last + milliseconds(1)) == outcome_state::unknown);
}

TEST_CASE("new ids are refused when the memory or the team's part of it is full") {
    auto memory = new_memory();
    std::uint64_t taken = 0;
    while (begin_request(memory, id_at(memory, start, taken), fingerprint, "kite", start) ==
           id_verdict::run) {
        ++taken;
    }
    CHECK(taken == limits.entries / 2);
    CHECK(begin_request(memory, id_at(memory, start, 1000), fingerprint, "surf", start) == id_verdict::run);
    CHECK(begin_request(memory, id_at(memory, start, 0), fingerprint, "kite", start) == id_verdict::wait);
}

TEST_CASE("a long answer is stored without its body") {
    auto memory = new_memory();
    const auto id = id_at(memory, start, 1);
    REQUIRE(begin_request(memory, id, fingerprint, "kite", start) == id_verdict::run);
    finish_request(memory, id, outcome_state::answered, {200, {}, std::string(limits.answer_bytes + 1, 'x')});
    const auto& kept = find_outcome(memory, id)->answer;
    CHECK(kept.body.empty());
    CHECK(kept.status == 200);
    CHECK_FALSE(find_header(kept.headers, dropped_body_header).empty());
}

TEST_CASE("a request that arrives after an inquiry does not run") {
    auto memory = new_memory();
    const auto id = id_at(memory, start, 1);
    CHECK(resolve_request_outcome(memory, id, start) == outcome_state::not_run);
    CHECK(begin_request(memory, id, fingerprint, "kite", start) == id_verdict::remembered);
    CHECK(find_outcome(memory, id)->state == outcome_state::not_run);
}

TEST_CASE("a memory that was taken over accepts no new ids") {
    auto memory = new_memory();
    const auto known = id_at(memory, start, 1);
    const auto lost = id_at(memory, start, 2);
    REQUIRE(begin_request(memory, known, fingerprint, "kite", start) == id_verdict::run);
    REQUIRE(begin_request(memory, lost, fingerprint, "kite", start) == id_verdict::run);
    finish_request(memory, known, outcome_state::answered, {201, {}, "booked"});
    close_memory(memory, start);
    const auto unseen = id_at(memory, start, 3);
    CHECK(begin_request(memory, unseen, fingerprint, "kite", start) == id_verdict::closed);
    auto taken = adopt_memory(incarnation, milliseconds(0), start + milliseconds(50), limits);
    for (const auto& [id, entry] : memory.entries) {
        adopt_outcome(taken, id, entry);
    }
    const auto now = start + milliseconds(60);
    CHECK(begin_request(taken, known, fingerprint, "kite", now) == id_verdict::remembered);
    CHECK(find_outcome(taken, lost)->state == outcome_state::unknown);
    CHECK(begin_request(taken, unseen, fingerprint, "kite", now) == id_verdict::closed);
    CHECK(resolve_request_outcome(taken, unseen, now) == outcome_state::not_run);
    CHECK_FALSE(are_all_ids_expired(taken, now));
    CHECK(are_all_ids_expired(taken, now + limits.lifetime));
}

TEST_SUITE_END();

} // namespace lycheegap::execution
