#include <algorithm>
#include <functional>
#include <random>

#include <doctest/doctest.h>

#include "core/common/digest.h"
#include "core/traffic/rate_home.h"
#include "virtual_time.h"

// Simulates many small teams inside their limits on a fleet of three regions, in virtual time. No host has
// tokens of its own. Compares homes in each region, asked first, with homes anywhere, asked in turn.
namespace lycheegap::traffic {

namespace {

using common::milliseconds;

constexpr int host_count = 36;
constexpr int team_count = 40;
constexpr int region_count = 3;
constexpr double near_round_trip_ms = 2;
constexpr double far_round_trip_ms = 110;
constexpr double query_timeout_ms = 300;
constexpr double duration_ms = 12'000;
// Requests of the first seconds, in which the buckets fill, are not counted.
constexpr double counted_from_ms = 3000;
// A team's limit is this multiple of its usual demand.
constexpr double limit_factor = 1.6;

fleet_members make_members() {
    fleet_members members;
    for (int n = 0; n < host_count; ++n) {
        fleet_member made;
        made.name = "host-" + std::to_string(n);
        made.region = "r" + std::to_string(n % region_count);
        made.domain = made.region + "-" + std::to_string(n % (2 * region_count));
        made.request_address = made.name;
        made.peer_address = made.name;
        members.emplace(made.name, made);
    }
    return members;
}

struct model_team {
    rate_limit limit;
    /// Names of the homes, and their buckets, in the same order.
    std::vector<std::string> homes;
    std::vector<home_bucket> buckets;
    /// By host.
    std::vector<team_tokens> tokens{host_count};
};

struct outcome {
    int asked{0};
    int refused{0};
    /// Requests that waited for an answer of another region.
    int far{0};
};

struct simulation : virtual_time {
    std::mt19937_64 random{7};
    fleet_members members{make_members()};
    std::vector<std::string> names;
    std::vector<model_team> teams{team_count};
    bool former{false};
    outcome result;
};

struct question {
    std::size_t team{0};
    std::size_t host{0};
    token_decision decision;
    double asked_ms{0};
    std::vector<std::string> order;
    std::size_t homes_asked{0};
    bool far{false};
};

void end_request(simulation& it, const question& asked, bool passed) {
    if (asked.asked_ms < counted_from_ms) {
        return;
    }
    ++it.result.asked;
    it.result.refused += passed ? 0 : 1;
    it.result.far += asked.far ? 1 : 0;
}

void take_answer(simulation& it, question asked, const token_loan& lent);

void ask_next_home(simulation& it, question asked) {
    auto& from = it.teams[asked.team];
    const auto& name = asked.order[asked.homes_asked++];
    const bool is_near = it.members.at(name).region == it.members.at(it.names[asked.host]).region;
    const double round_trip = is_near ? near_round_trip_ms : far_round_trip_ms;
    asked.far = asked.far || !is_near;
    const auto found = std::find(from.homes.begin(), from.homes.end(), name);
    auto& home = from.buckets[static_cast<std::size_t>(found - from.homes.begin())];
    it.events.emplace(it.now_ms + round_trip / 2, [&it, &home, &from, asked, round_trip] {
        const auto limit = lent_limit(from.limit, host_count, from.homes.size());
        const token_loan lent{lend(home, limit, asked.decision.wanted, it.now()),
                              until_token(home.bucket, limit)};
        it.events.emplace(it.now_ms + round_trip / 2, [&it, asked, lent] { take_answer(it, asked, lent); });
    });
}

void take_answer(simulation& it, question asked, const token_loan& lent) {
    const bool in_time = it.now_ms < asked.asked_ms + query_timeout_ms;
    if (lent.granted < 1 && asked.decision.all_homes && asked.homes_asked < asked.order.size() && in_time) {
        ask_next_home(it, std::move(asked));
        return;
    }
    const auto asked_at = model_start + milliseconds(static_cast<int>(asked.asked_ms));
    auto& tokens = it.teams[asked.team].tokens[asked.host];
    end_request(it, asked, note_loan(tokens, asked.decision, lent, asked_at, it.now()));
}

void handle_request(simulation& it, std::size_t number) {
    question asked{.team = number,
                   .host = std::uniform_int_distribution<std::size_t>(0, host_count - 1)(it.random),
                   .decision = {},
                   .asked_ms = it.now_ms,
                   .order = {}};
    auto& from = it.teams[number];
    asked.decision =
        decide_token(from.tokens[asked.host], own_limit(from.limit, 1.0 / host_count, host_count), it.now());
    if (asked.decision.step != token_step::ask) {
        end_request(it, asked, asked.decision.step == token_step::taken);
        return;
    }
    const auto& host = it.names[asked.host];
    const auto first = common::stable_hash(host) + asked.decision.first_home;
    asked.order = nearest_homes(it.members, from.homes, it.former ? "" : it.members.at(host).region, first);
    ask_next_home(it, std::move(asked));
}

/// The former rule: the three hosts of the highest rank, wherever they are.
std::vector<std::string> homes_anywhere(const fleet_members& members, std::string_view name) {
    auto in_one_region = members;
    for (auto& [host, it] : in_one_region) {
        it.region = "all";
    }
    return homes_of(in_one_region, name);
}

outcome simulate(bool former) {
    simulation it;
    it.former = former;
    for (const auto& [name, member] : it.members) {
        it.names.push_back(name);
    }
    for (std::size_t n = 0; n < team_count; ++n) {
        auto& from = it.teams[n];
        const double demand = std::uniform_real_distribution(2.0, 12.0)(it.random);
        const auto name = "team-" + std::to_string(n);
        from.limit = fleet_limit({name, 0, demand * limit_factor, demand, {}}, {milliseconds(5000), 0.1, 20});
        from.homes = former ? homes_anywhere(it.members, name) : homes_of(it.members, name);
        from.buckets.resize(from.homes.size());
        for (auto& home : from.buckets) {
            note_home(home, true, model_start - home_wait);
        }
        std::exponential_distribution<double> interval(demand / 1000);
        for (double at = 0; at < duration_ms; at += interval(it.random)) {
            it.events.emplace(at, [&it, n] { handle_request(it, n); });
        }
    }
    it.run_all();
    return it.result;
}

} // namespace

TEST_CASE("requests of small teams inside their limits are neither refused nor wait for another region") {
    const auto result = simulate(false);
    const auto former = simulate(true);
    CAPTURE(result.asked);
    CAPTURE(result.refused);
    CAPTURE(result.far);
    CAPTURE(former.refused);
    CAPTURE(former.far);
    CHECK(result.asked > 1000);
    CHECK(result.refused * 100 < result.asked);
    CHECK(result.far * 100 < result.asked);
    CHECK(former.far > result.far * 10);
}

TEST_CASE("each region has a home of a team, and its hosts ask that one first") {
    const auto members = make_members();
    const auto homes = homes_of(members, "kite");
    REQUIRE(homes.size() == region_count);
    for (int n = 0; n < region_count; ++n) {
        const auto region = "r" + std::to_string(n);
        for (std::size_t first = 0; first < 4; ++first) {
            const auto order = nearest_homes(members, homes, region, first);
            REQUIRE(order.size() == homes.size());
            CHECK(members.at(order.front()).region == region);
        }
    }
    // With a host less, the homes of the other regions stay.
    auto fewer = members;
    fewer.erase(homes.front());
    const auto later = homes_of(fewer, "kite");
    CHECK(std::count_if(later.begin(), later.end(), [&](const auto& name) {
              return std::find(homes.begin(), homes.end(), name) != homes.end();
          }) == region_count - 1);
}

} // namespace lycheegap::traffic
