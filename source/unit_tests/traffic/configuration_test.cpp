#include "core/traffic/configuration.h"

#include <doctest/doctest.h>

#include "core/common/digest.h"

namespace lycheegap::traffic {

namespace {

route make_route(std::string name, std::string prefix) {
    route made;
    made.name = std::move(name);
    made.host = "surf.example";
    made.prefix = std::move(prefix);
    made.parts = {{"desk", 1}};
    return made;
}

} // namespace

TEST_CASE("the longest prefix of the host selects the route") {
    configuration config;
    config.routes = {make_route("all", "/"), make_route("a", "/a/"), make_route("ab", "/a/b/")};
    CHECK(find_route(config, "surf.example", "/a/b/c")->name == "ab");
    CHECK(find_route(config, "surf.example:80", "/a/bc")->name == "a");
    CHECK(find_route(config, "surf.example", "/x")->name == "all");
    CHECK(find_route(config, "other.example", "/a/") == nullptr);
    config.routes.erase(config.routes.begin());
    CHECK(find_route(config, "surf.example", "/a") == nullptr);
}

TEST_CASE("an API key selects its team, an unknown one selects none") {
    configuration config;
    config.teams = {{"kite", 1, 10, 10, {}}};
    config.team_of_key.emplace(common::key_digest("k1"), 0);
    CHECK(find_team(config, "k1")->name == "kite");
    CHECK(find_team(config, "k2") == nullptr);
    CHECK(find_team(config, "") == nullptr);
}

TEST_CASE("only regions allowed by both the route and the team are allowed") {
    CHECK(common_regions({}, {})->empty());
    CHECK(*common_regions({"a", "b"}, {}) == std::vector<std::string>{"a", "b"});
    CHECK(*common_regions({"a", "b"}, {"b", "c"}) == std::vector<std::string>{"b"});
    CHECK_FALSE(common_regions({"a"}, {"b"}));
}

TEST_CASE("a team's priority outranks its route's") {
    route urgent = make_route("u", "/");
    urgent.priority = 0;
    route relaxed = make_route("r", "/");
    relaxed.priority = 9;
    const team first{"first", 0, 0, 0, {}};
    const team second{"second", 1, 0, 0, {}};
    CHECK(priority_rank(relaxed, &first) < priority_rank(urgent, &second));
    CHECK(priority_rank(urgent, &first) < priority_rank(relaxed, &first));
}

} // namespace lycheegap::traffic
