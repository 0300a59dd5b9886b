#include "core/traffic/store_outage.h"

#include <algorithm>
#include <map>
#include <set>

#include <doctest/doctest.h>

namespace lycheegap::traffic {

namespace {

using common::milliseconds;

const common::boot_clock::time_point start{std::chrono::seconds(1000)};

fleet_members make_members(int count) {
    fleet_members members;
    for (int n = 0; n < count; ++n) {
        fleet_member made;
        made.name = "host-" + std::to_string(n);
        made.peer_address = made.name + ":1";
        members.emplace(made.name, made);
    }
    return members;
}

} // namespace

TEST_CASE("an outage is known while enough different hosts have lately answered that they are outdated") {
    outage_evidence evidence;
    CHECK_FALSE(outage_known_until(evidence, 300, start));
    for (int n = 0; n < 20; ++n) {
        note_witness(evidence, "host-1", start);
    }
    CHECK_FALSE(outage_known_until(evidence, 300, start));
    for (int n = 2; n <= 6; ++n) {
        note_witness(evidence, "host-" + std::to_string(n), start + milliseconds(100 * n));
    }
    CHECK(outage_known_until(evidence, 300, start + milliseconds(600)) == start + witness_validity);
    CHECK_FALSE(outage_known_until(evidence, 300, start + witness_validity));
    // The oldest witness answers again.
    note_witness(evidence, "host-1", start + milliseconds(1000));
    CHECK(outage_known_until(evidence, 300, start + milliseconds(1000)) ==
          start + milliseconds(200) + witness_validity);
    // After a suspension of the machine all answers are too old.
    CHECK_FALSE(outage_known_until(evidence, 300, start + milliseconds(10'000)));
}

TEST_CASE("a small fleet needs half of its hosts as witnesses, a host alone knows of no outage") {
    outage_evidence evidence;
    CHECK_FALSE(outage_known_until(evidence, 1, start));
    note_witness(evidence, "host-1", start);
    CHECK(outage_known_until(evidence, 3, start));
    CHECK_FALSE(outage_known_until(evidence, 4, start));
}

TEST_CASE("each host has a bounded number of neighbours, and one host's news reach all within a few rounds") {
    for (const int count : {2, 25, 295, 870}) {
        CAPTURE(count);
        const auto members = make_members(count);
        std::map<std::string, std::vector<std::string>> neighbours;
        std::map<std::string, std::size_t> asked;
        for (const auto& [name, it] : members) {
            neighbours[name] = neighbours_of(members, name);
            CHECK(neighbours[name].size() == std::min<std::size_t>(neighbour_count, members.size() - 1));
            for (const auto& other : neighbours[name]) {
                CHECK(other != name);
                ++asked[other];
            }
        }
        for (const auto& [name, n] : asked) {
            CHECK(n <= 4 * neighbour_count);
        }
        std::set<std::string> informed{"host-0"};
        int rounds = 0;
        for (; informed.size() < members.size() && rounds < 10; ++rounds) {
            auto next = informed;
            for (const auto& [name, those] : neighbours) {
                if (std::any_of(those.begin(), those.end(),
                                [&](const auto& it) { return informed.contains(it); })) {
                    next.insert(name);
                }
            }
            informed = std::move(next);
        }
        CHECK(informed.size() == members.size());
        CHECK(rounds <= 5);
    }
}

} // namespace lycheegap::traffic
