#include <algorithm>
#include <set>

#include <doctest/doctest.h>

#include "core/traffic/directory.h"

namespace lycheegap::traffic {

namespace {

constexpr int fleet_count = 40;

void add_host(fleet_members& members, const std::string& name, int domain, double capacity, double link) {
    fleet_member made;
    made.name = name;
    made.domain = "d" + std::to_string(domain);
    made.peer_address = "127.0.0.1:1";
    made.capacity = capacity;
    made.link = link;
    members.emplace(name, made);
}

std::string name_of(std::string_view kind, int fleet, int n) {
    return std::string(kind) + "-" + std::to_string(fleet) + "-" + std::to_string(n);
}

/// Hosts that are alike, spread over nine failure domains.
fleet_members equal_fleet(int fleet, int count) {
    fleet_members members;
    for (int n = 0; n < count; ++n) {
        add_host(members, name_of("host", fleet, n), n % 9, 0.07, 10);
    }
    return members;
}

} // namespace

// Guards against relays on hosts whose links or processors are too small: they fell behind by seconds, and so
// did all hosts that asked them.
TEST_CASE("no host with a small processor or link is a relay while others have room") {
    for (int fleet = 0; fleet < fleet_count; ++fleet) {
        auto members = equal_fleet(fleet, 70);
        for (int n = 0; n < 10; ++n) {
            add_host(members, name_of("large", fleet, n), n % 9, 0.5, 200);
            add_host(members, name_of("slow-link", fleet, n), n % 9, 0.9, 10);
        }
        const auto relays = relay_hosts(members);
        CHECK(relays.size() == 3);
        CHECK(std::all_of(relays.begin(), relays.end(),
                          [](const auto& it) { return it.starts_with("large"); }));
    }
}

TEST_CASE("in a fleet of equal hosts the relays are spread over hosts and failure domains") {
    std::set<std::string> numbers;
    for (int fleet = 0; fleet < fleet_count; ++fleet) {
        const auto members = equal_fleet(fleet, 30);
        const auto relays = relay_hosts(members);
        REQUIRE(relays.size() == 3);
        std::set<std::string> domains;
        for (const auto& it : relays) {
            domains.insert(members.at(it).domain);
            numbers.insert(it.substr(it.rfind('-')));
        }
        CHECK(domains.size() == 3);
    }
    CHECK(numbers.size() > 20);
}

TEST_CASE("relays change only when one of them leaves") {
    auto members = equal_fleet(1, 30);
    const auto relays = relay_hosts(members);
    for (const auto& [name, it] : equal_fleet(1, 30)) {
        if (std::find(relays.begin(), relays.end(), name) == relays.end() && members.size() > 6) {
            members.erase(name);
            CHECK(relay_hosts(members) == relays);
        }
    }
    members.erase(relays[0]);
    const auto next = relay_hosts(members);
    CHECK(std::count(next.begin(), next.end(), relays[1]) == 1);
    CHECK(std::count(next.begin(), next.end(), relays[2]) == 1);
}

TEST_CASE("hosts of one failure domain and few hosts are relays too") {
    fleet_members members;
    for (int n = 0; n < 5; ++n) {
        add_host(members, name_of("host", 0, n), 0, 0.1, 0);
        CHECK(relay_hosts(members).size() == std::min<std::size_t>(members.size(), 3));
    }
}

TEST_CASE("hosts whose link is unknown are relays by their processor") {
    fleet_members members;
    for (int n = 0; n < 20; ++n) {
        add_host(members, name_of("old", 0, n), n % 9, 0.07, 0);
        add_host(members, name_of("old-large", 0, n), n % 9, 0.5, 0);
        add_host(members, name_of("new", 0, n), n % 9, 0.07, 10);
    }
    for (const auto& it : relay_hosts(members)) {
        CHECK(it.starts_with("old-large"));
    }
}

} // namespace lycheegap::traffic
