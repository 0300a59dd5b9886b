#include <doctest/doctest.h>

#include "core/membership/acceptance.h"
#include "core/membership/relays.h"

namespace lycheegap::membership {

namespace {

using common::milliseconds;
using common::time_point;

const time_point start{milliseconds(1'000'000)};
constexpr milliseconds lease_wait(1000);

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

confirmation confirmed(const char* name, int at_ms, std::uint64_t version = 5,
                       std::uint64_t incarnation = 1) {
    return {name, incarnation, version, start + milliseconds(at_ms)};
}

member_answer answer(const char* name, int at_ms) {
    return {name, 1, start + milliseconds(at_ms), 1};
}

} // namespace

TEST_CASE("a version is accepted at once if all confirm, after the wait if half do, never if fewer do") {
    const auto three = members({"a", "b", "c"});
    const std::vector all{confirmed("a", 0), confirmed("b", 10), confirmed("c", 20)};
    CHECK(evaluate_acceptance(three, 5, all, lease_wait).accepted_at == start + milliseconds(20));
    const std::vector two{confirmed("a", 0), confirmed("b", 10)};
    const auto partial = evaluate_acceptance(three, 5, two, lease_wait);
    CHECK(partial.accepted_at == start + milliseconds(10) + lease_wait);
    CHECK(partial.waiting_for == std::vector<std::string>{"c"});
    const std::vector one{confirmed("a", 0), confirmed("b", 10, 4), confirmed("c", 10, 5, 2)};
    CHECK(evaluate_acceptance(three, 5, one, lease_wait).accepted_at == time_point::max());
}

TEST_CASE("a version needs half of the members of every generation from the floor on") {
    auto changed = members({"a", "b", "c"});
    changed = without_member(changed, "b", 1, departure::silent);
    changed = without_member(changed, "c", 1, departure::silent);
    const std::vector alone{confirmed("a", 0)};
    CHECK(evaluate_acceptance(changed, 5, alone, lease_wait).accepted_at == time_point::max());
    raise_floor(changed, changed.number);
    CHECK(evaluate_acceptance(changed, 5, alone, lease_wait).accepted_at == start);
}

TEST_CASE("a replaced incarnation need not confirm, a silent one that was removed is waited for") {
    member restarted;
    restarted.name = "b";
    restarted.incarnation = 2;
    const auto replaced = with_member(members({"a", "b"}), restarted);
    const std::vector both{confirmed("a", 0), confirmed("b", 5, 5, 2)};
    CHECK(evaluate_acceptance(replaced, 5, both, lease_wait).accepted_at == start + milliseconds(5));
    const auto silent = without_member(members({"a", "b"}), "b", 1, departure::silent);
    CHECK(evaluate_acceptance(silent, 5, both, lease_wait).accepted_at == start + lease_wait);
}

TEST_CASE("the relays of a failure domain are its first two members that answer") {
    const auto four = members({"a", "b", "c", "d"});
    const std::vector answers{answer("a", 0), answer("b", 0), answer("c", 0)};
    CHECK_FALSE(is_relay(four, four.members[2], answers, start));
    CHECK(is_relay(four, four.members[2], answers, start + milliseconds(1)));
    CHECK(is_relay(four, four.members[1], answers, start));
}

TEST_CASE("a member is removable if it does not answer a majority") {
    const auto four = members({"a", "b", "c", "d"});
    const std::vector<std::string> own{"d"};
    std::vector<silence_report> reports{{"b", 1, start, {"d"}}};
    CHECK(removable_members(four, four.members[0], own, reports, start).empty());
    reports.push_back({"c", 1, start, {"d"}});
    CHECK(removable_members(four, four.members[0], own, reports, start) == own);
    CHECK(removable_members(four, four.members[0], own, reports, start + milliseconds(1)).empty());
}

} // namespace lycheegap::membership
