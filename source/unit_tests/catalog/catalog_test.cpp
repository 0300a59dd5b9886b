#include <doctest/doctest.h>

#include "core/catalog/edit.h"
#include "core/common/last_reason.h"

namespace lycheegap::catalog {

namespace {

configuration sample() {
    configuration it;
    it.services["forecast"] = {"forecast", {{"w1", "127.0.0.1:1", "vestkyst", "vestkyst-1", 4}}};
    it.services["archive"] = {"archive", {}};
    team_template school{"school", {}, 1000, 100, 3, 20};
    school.routes = {{"*", "/forecast", "forecast", work_class::interactive, false},
                     {"POST", "/forecast/book", "forecast", work_class::once, false},
                     {"GET", "/archive", "archive", work_class::deferrable, false},
                     {"GET", "/public", "forecast", work_class::interactive, true}};
    it.templates["school"] = school;
    it.teams["kite"] = {"kite", "school", {"d1"}, 10, 5, {"forecast"}};
    index_keys(it);
    return it;
}

} // namespace

TEST_CASE("the longest matching prefix among the team's services wins") {
    const auto it = sample();
    const auto* kite = find_team(it, "d1");
    REQUIRE(kite != nullptr);
    CHECK(match_route(it, *kite, "GET", "/forecast/x")->rule->path_prefix == "/forecast");
    CHECK(match_route(it, *kite, "POST", "/forecast/book/7")->rule->work == work_class::once);
    CHECK_FALSE(match_route(it, *kite, "GET", "/forecasts"));
    CHECK_FALSE(match_route(it, *kite, "GET", "/archive"));
    CHECK(match_open_route(it, "GET", "/public/map"));
    CHECK_FALSE(match_open_route(it, "GET", "/forecast"));
}

TEST_CASE("a valid edit makes the next revision, an invalid one gives a reason") {
    const auto it = sample();
    const auto next = apply_edit(it, withdraw_key{"kite", "d1"});
    REQUIRE(next);
    CHECK(next->revision == it.revision + 1);
    CHECK(find_team(*next, "d1") == nullptr);
    CHECK_FALSE(apply_edit(it, withdraw_service{"forecast"}));
    CHECK_FALSE(apply_edit(it, withdraw_team{"nobody"}));
    CHECK_FALSE(apply_edit(it, team{"sail", "school", {"d1"}, 1, 1, {}}));
    CHECK(common::last_reason().text == "a key belongs to team 'kite' already");
    CHECK_FALSE(apply_edit(it, team{"bad name", "school", {}, 1, 1, {}}));
    CHECK_FALSE(apply_edit(it, team{"sail", "school", {}, -1, 1, {}}));
}

} // namespace lycheegap::catalog
