#include <doctest/doctest.h>

#include "core/membership/authority.h"

namespace lycheegap::membership {

namespace {

using common::milliseconds;
using common::time_point;

const time_point start{milliseconds(1'000'000)};
constexpr milliseconds lease_length(3000);

generation three_members() {
    generation it;
    for (const auto* name : {"a", "b", "c"}) {
        member host;
        host.name = name;
        host.incarnation = 1;
        it = with_member(it, host);
    }
    return it;
}

member_answer answer_of(const char* name, int asked_ms, std::uint64_t version) {
    return {name, 1, start + milliseconds(asked_ms), version};
}

} // namespace

TEST_CASE("a member's new incarnation replaces the old one") {
    auto it = three_members();
    CHECK(it.number == 3);
    member restarted;
    restarted.name = "b";
    restarted.incarnation = 2;
    it = with_member(it, restarted);
    CHECK(it.members.size() == 3);
    CHECK_FALSE(is_member(it, "b", 1));
    CHECK(is_member(it, "b", 2));
    CHECK(without_member(it, "b", 1).number == it.number);
    CHECK(without_member(it, "b", 2).members.size() == 2);
}

TEST_CASE("a confirmation by the store extends from the time of the question") {
    authority_lease held;
    extend_by_store(held, start, lease_length);
    CHECK(is_lease_valid(held, start + milliseconds(2999)));
    CHECK_FALSE(is_lease_valid(held, start + milliseconds(3000)));
    extend_by_store(held, start - milliseconds(500), lease_length);
    CHECK(is_lease_valid(held, start + milliseconds(2999)));
}

TEST_CASE("a majority extends from the oldest question that it needs") {
    authority_lease held;
    const auto now = start + milliseconds(1000);
    const std::vector<member_answer> answers = {answer_of("b", 200, 7), answer_of("c", 700, 7)};
    extend_by_members(held, three_members(), {"a", 1, 7}, answers, now, lease_length);
    CHECK(held.deadline == start + milliseconds(700) + lease_length);
}

TEST_CASE("answers with a newer version or from a host that is not a member do not count") {
    authority_lease held;
    const std::vector<member_answer> newer = {answer_of("b", 0, 8), answer_of("c", 0, 8)};
    extend_by_members(held, three_members(), {"a", 1, 7}, newer, start, lease_length);
    CHECK_FALSE(is_lease_valid(held, start));
    const std::vector<member_answer> non_members = {answer_of("x", 0, 7), {"b", 9, start, 7}};
    extend_by_members(held, three_members(), {"a", 1, 7}, non_members, start, lease_length);
    CHECK_FALSE(is_lease_valid(held, start));
    const std::vector<member_answer> valid_answers = {answer_of("b", 0, 7)};
    extend_by_members(held, three_members(), {"a", 2, 7}, valid_answers, start, lease_length);
    CHECK_FALSE(is_lease_valid(held, start));
}

} // namespace lycheegap::membership
