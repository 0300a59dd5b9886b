#include <doctest/doctest.h>

#include "core/catalog/edit.h"
#include "core/catalog/in_force.h"
#include "core/common/last_reason.h"
#include "lycheegapctl/record_view.h"

namespace lycheegap::catalog {

namespace {

configuration with_team(double rate, double burst, std::vector<std::string> keys) {
    configuration it;
    it = *apply_edit(it, service{"forecast", {}});
    it = *apply_edit(it, team_template{"school", {}, 1000, 0, 1, 20});
    return *apply_edit(it, team{"kite", "school", std::move(keys), rate, burst, {"forecast"}});
}

} // namespace

TEST_CASE("lower limits apply at once, higher ones and new grants after acceptance") {
    const auto accepted = with_team(10, 50, {"k1", "k2"});
    const auto latest = with_team(20, 5, {"k2", "k3"});
    const auto applied = restrict_to_accepted(accepted, latest);
    CHECK(applied.teams.at("kite").rate == 10);
    CHECK(applied.teams.at("kite").burst == 5);
    CHECK(find_team(applied, "k1") == nullptr);
    CHECK(find_team(applied, "k2") != nullptr);
    CHECK(find_team(applied, "k3") == nullptr);
    CHECK(restrict_to_accepted({}, latest).teams.empty());
}

TEST_CASE("a withdrawn key cannot be issued again, not even by setting an older record of the team") {
    const auto before = with_team(10, 50, {"k1"});
    const auto after = apply_edit(before, withdraw_key{"kite", "k1"});
    REQUIRE(after);
    CHECK(find_team(*after, "k1") == nullptr);
    CHECK_FALSE(apply_edit(*after, add_key{"kite", "k1"}));
    CHECK_FALSE(apply_edit(*after, before.teams.at("kite")));
    CHECK(common::last_reason().text.find("was withdrawn") != std::string::npos);
}

TEST_CASE("the revision of the last change of a record includes its withdrawal") {
    auto it = with_team(10, 50, {"k1"});
    const record_name kite{record_kind::team, "kite"};
    const record_name forecast{record_kind::service, "forecast"};
    CHECK(last_changed_revision(it, forecast) == 1);
    CHECK(last_changed_revision(it, kite) == 3);
    it = *apply_edit(it, withdraw_team{"kite"});
    CHECK(last_changed_revision(it, kite) == 4);
    CHECK(last_changed_revision(it, forecast) == 1);
}

} // namespace lycheegap::catalog

namespace lycheegap::ctl {

TEST_CASE("command lines are parsed into queries and edits") {
    CHECK(parse_command({"edit", "status", "7"}, {})->query == "revision=7");
    CHECK(parse_command({"team", "history", "kite"}, {})->query == "kind=team&name=kite");
    CHECK(parse_command({"key", "withdraw", "kite", "secret"}, {})->body.find("secret") == std::string::npos);
    CHECK_FALSE(parse_command({"team", "forget", "kite"}, {}));
}

TEST_CASE("records of the configuration are listed and shown") {
    const std::string catalog = R"({"teams":[{"name":"kite","key_digests":["d1"]},{"name":"sail"}]})";
    CHECK(show_records(*parse_command({"team", "list"}, {}), catalog) == "kite\nsail\n");
    CHECK(show_records(*parse_command({"key", "list", "kite"}, {}), catalog) == "d1\n");
    CHECK(show_records(*parse_command({"team", "show", "kite"}, {}), catalog)->find("\"d1\"") !=
          std::string::npos);
    CHECK_FALSE(show_records(*parse_command({"team", "show", "surf"}, {}), catalog));
    CHECK(line_diff("a\nb\n", "a\nc\n") == "- b\n+ c\n");
}

} // namespace lycheegap::ctl
