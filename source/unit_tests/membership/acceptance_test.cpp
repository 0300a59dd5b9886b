#include <doctest/doctest.h>

#include "core/membership/acceptance.h"
#include "core/membership/relays.h"

namespace lycheegap::membership {

namespace {

using common::milliseconds;
using common::time_point;

const time_point start{milliseconds(1'000'000)};
constexpr milliseconds wait(1000);

generation members(std::initializer_list<const char*> names) {
    generation it;
    for (const auto* name : names) {
        member host;
        host.name = name;
        host.incarnation = 1;
        host.failure_domain = "one";
        it = with_member(it, host);
    }
    raise_floor(it, it.number);
    return it;
}

confirmation heard(const char* name, int at_ms, std::uint64_t version = 5, std::uint64_t incarnation = 1) {
    return {name, incarnation, version, start + milliseconds(at_ms)};
}

member_answer answer(const char* name, int at_ms) {
    return {name, 1, start + milliseconds(at_ms), 1};
}

} // namespace

TEST_CASE("all confirmations accept at once, half of them after the wait, fewer never") {
    const auto three = members({"a", "b", "c"});
    const std::vector all{heard("a", 0), heard("b", 10), heard("c", 20)};
    CHECK(weigh_acceptance(three, 5, all, wait).accepted_at == start + milliseconds(20));
    const std::vector two{heard("a", 0), heard("b", 10)};
    const auto weighed = weigh_acceptance(three, 5, two, wait);
    CHECK(weighed.accepted_at == start + milliseconds(10) + wait);
    CHECK(weighed.waiting_for == std::vector<std::string>{"c"});
    const std::vector one{heard("a", 0), heard("b", 10, 4), heard("c", 10, 5, 2)};
    CHECK(weigh_acceptance(three, 5, one, wait).accepted_at == time_point::max());
}

TEST_CASE("a version needs half of every generation that a host may still act under") {
    auto changed = members({"a", "b", "c"});
    changed = without_member(changed, "b", 1, departure::silent);
    changed = without_member(changed, "c", 1, departure::silent);
    const std::vector alone{heard("a", 0)};
    CHECK(weigh_acceptance(changed, 5, alone, wait).accepted_at == time_point::max());
    raise_floor(changed, changed.number);
    CHECK(weigh_acceptance(changed, 5, alone, wait).accepted_at == start);
}

TEST_CASE("an incarnation that was replaced counts as ended, one that was silent does not") {
    member again;
    again.name = "b";
    again.incarnation = 2;
    const auto replaced = with_member(members({"a", "b"}), again);
    const std::vector both{heard("a", 0), heard("b", 5, 5, 2)};
    CHECK(weigh_acceptance(replaced, 5, both, wait).accepted_at == start + milliseconds(5));
    const auto silent = without_member(members({"a", "b"}), "b", 1, departure::silent);
    CHECK(weigh_acceptance(silent, 5, both, wait).accepted_at == start + wait);
}

TEST_CASE("the first two members of a failure domain that answer are its relays") {
    const auto four = members({"a", "b", "c", "d"});
    const std::vector heard_all{answer("a", 0), answer("b", 0), answer("c", 0)};
    CHECK_FALSE(is_relay(four, four.members[2], heard_all, start));
    CHECK(is_relay(four, four.members[2], heard_all, start + milliseconds(1)));
    CHECK(is_relay(four, four.members[1], heard_all, start));
}

TEST_CASE("a member is taken out when more than half hear nothing from it") {
    const auto four = members({"a", "b", "c", "d"});
    const std::vector<std::string> own{"d"};
    std::vector<silence_report> reports{{"b", 1, start, {"d"}}};
    CHECK(removable_members(four, four.members[0], own, reports, start).empty());
    reports.push_back({"c", 1, start, {"d"}});
    CHECK(removable_members(four, four.members[0], own, reports, start) == own);
    CHECK(removable_members(four, four.members[0], own, reports, start + milliseconds(1)).empty());
}

} // namespace lycheegap::membership
