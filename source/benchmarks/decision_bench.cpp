#include "decision_bench.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/allowance/home.h"
#include "core/allowance/home_account.h"
#include "core/common/digest.h"
#include "core/schema/codec.h"
#include "core/schema/generated/peer_generated.h"
#include "core/steering/endpoint_choice.h"
#include "core/steering/lookup.h"
#include "core/traffic/placement_by_work.h"
#include "core/transport/record_codec.h"

namespace lycheegap::benchmarks {

namespace {

constexpr int round_count = 7;
constexpr double min_round_cpu_s = 0.01;
constexpr std::size_t hosts_per_answer = 4;

/// Prevents the compiler from removing the computation of an unused result.
template <typename Value>
void do_not_optimize(const Value& value) {
    asm volatile("" : : "g"(&value) : "memory");
}

double host_order_us(int hosts) {
    const auto members = make_generation(hosts, 9);
    std::uint64_t seed = 0;
    return cpu_time_us([&] {
        const steering::caller_place place{"region-3", "region-3-1", ""};
        do_not_optimize(steering::order_hosts(members, place, ++seed, hosts_per_answer));
    });
}

double team_home_us(int hosts) {
    const auto members = make_generation(hosts, 9);
    return cpu_time_us([&] { do_not_optimize(allowance::find_home("team-17", members)); });
}

double route_match_us(int teams) {
    const auto configuration = make_configuration(teams, 16);
    const auto digest = common::key_digest("key-of-team-1");
    return cpu_time_us([&] {
        const auto* team = catalog::find_team(configuration, digest);
        do_not_optimize(catalog::match_route(configuration, *team, "GET", "/forecast/klitmoller"));
    });
}

double bucket_take_us() {
    auto now = common::time_point(common::milliseconds(1));
    auto account = allowance::open_account({1e6, 100}, {}, {1, 1, now}, now);
    return cpu_time_us([&] {
        now += common::milliseconds(1);
        do_not_optimize(allowance::take_token(account, now));
    });
}

double endpoint_choice_us(int endpoints) {
    std::vector<steering::endpoint_state> states(static_cast<std::size_t>(endpoints));
    for (std::size_t n = 0; n < states.size(); ++n) {
        states[n].address = fmt::format("10.0.0.{}:80", n);
        states[n].region = fmt::format("region-{}", n % 3 + 1);
        states[n].slots = 6;
    }
    steering::random_engine random(1);
    const auto now = common::time_point(common::milliseconds(1));
    return cpu_time_us(
        [&] { do_not_optimize(steering::choose_endpoint(states, "region-1", "", now, random)); });
}

double placement_us(int endpoints) {
    traffic::endpoint_set set;
    const auto now = common::time_point(common::milliseconds(1'000'000));
    for (int n = 0; n < endpoints; ++n) {
        traffic::endpoint_entry entry;
        entry.id = fmt::format("worker-{}", n);
        entry.service = "forecast";
        entry.address = fmt::format("10.1.{}.{}:80", n / 250, n % 250);
        entry.region = fmt::format("region-{}", n % 3 + 1);
        entry.slots = 9;
        traffic::put_endpoint(set, entry, now);
    }
    traffic::work_costs costs;
    std::uint64_t object = 0;
    return cpu_time_us([&] {
        const auto key = std::to_string(++object % 500);
        traffic::placement_request request;
        request.service = "forecast";
        request.route = "read";
        request.object_key = key;
        request.region = "region-1";
        request.target_latency = common::milliseconds(1);
        do_not_optimize(traffic::place_by_work(set, costs, request, now));
    });
}

double peer_message_us() {
    schema::heartbeat_t heartbeat;
    heartbeat.host = "host-17";
    schema::peer_message_t message;
    message.body.Set(heartbeat);
    return cpu_time_us([&] {
        const auto encoded = schema::encode<schema::peer_message>(message);
        do_not_optimize(schema::decode<schema::peer_message>(encoded, "peer"));
    });
}

double catalog_decode_us(int teams) {
    const auto configuration = make_configuration(teams, 16);
    const auto encoded = schema::encode<schema::catalog_record>(transport::make_record(configuration));
    return cpu_time_us([&] {
        const auto record = schema::decode<schema::catalog_record>(encoded, "store");
        do_not_optimize(transport::parse_configuration(*record));
    });
}

} // namespace

membership::generation make_generation(int hosts, int regions) {
    membership::generation result;
    result.number = 1;
    for (int n = 0; n < hosts; ++n) {
        membership::member it;
        it.name = fmt::format("host-{:04}", n);
        it.incarnation = static_cast<std::uint64_t>(n) + 1;
        it.region = fmt::format("region-{}", n % regions + 1);
        it.failure_domain = fmt::format("{}-{}", it.region, n / regions % 2 + 1);
        it.peer_address = fmt::format("10.0.{}.{}:7003", n / 250, n % 250);
        it.lookup_address = fmt::format("10.0.{}.{}:7001", n / 250, n % 250);
        it.request_address = fmt::format("10.0.{}.{}:7002", n / 250, n % 250);
        it.operator_address = fmt::format("10.0.{}.{}:7004", n / 250, n % 250);
        result.members.push_back(it);
    }
    return result;
}

catalog::configuration make_configuration(int teams, int endpoints) {
    catalog::configuration result;
    result.revision = 1;
    auto& service = result.services["forecast"];
    service.name = "forecast";
    for (int n = 0; n < endpoints; ++n) {
        const auto region = fmt::format("region-{}", n % 9 + 1);
        service.endpoints.push_back({fmt::format("worker-{}", n),
                                     fmt::format("10.1.{}.{}:80", n / 250, n % 250), region, region + "-1",
                                     6});
    }
    result.templates["school"] = {"school",
                                  {{"GET", "/forecast", "forecast", catalog::work_class::interactive, false},
                                   {"POST", "/bookings", "forecast", catalog::work_class::once, false},
                                   {"GET", "/archive", "forecast", catalog::work_class::deferrable, false}},
                                  10'000,
                                  2000,
                                  3,
                                  20};
    for (int n = 0; n < teams; ++n) {
        const auto name = fmt::format("team-{}", n);
        result.teams[name] = {name, "school", {common::key_digest("key-of-" + name)}, 50, 10, {"forecast"}};
    }
    catalog::index_keys(result);
    return result;
}

double cpu_time_us(const std::function<void()>& call) {
    double min_call_cpu_s = 1e9;
    for (int n = 0; n < round_count; ++n) {
        int calls = 0;
        const double start_cpu_s = thread_cpu_s();
        double cpu_s = 0;
        while (cpu_s < min_round_cpu_s) {
            for (int k = 0; k < 8; ++k) {
                call();
            }
            calls += 8;
            cpu_s = thread_cpu_s() - start_cpu_s;
        }
        min_call_cpu_s = std::min(min_call_cpu_s, cpu_s / calls);
    }
    return min_call_cpu_s * 1e6;
}

std::vector<figure> run_decision_bench() {
    const double digest =
        cpu_time_us([] { do_not_optimize(common::key_digest("a-key-of-usual-length-0123456789")); });
    const double lookup_24 = host_order_us(24);
    const double lookup_870 = host_order_us(870);
    const double decode_100 = catalog_decode_us(100);
    const double decode_800 = catalog_decode_us(800);
    const double route_8 = route_match_us(8);
    const double route_800 = route_match_us(800);
    const std::string group = "decisions";
    std::vector<figure> figures;
    const auto add = [&](std::string name, double value, std::string unit) -> figure& {
        return figures.emplace_back(figure{group, std::move(name), value, std::move(unit)});
    };
    add("key digest", digest, "us");
    add("bucket take", bucket_take_us(), "us");
    add("endpoint choice of 16", endpoint_choice_us(16), "us");
    add("endpoint choice of 220", endpoint_choice_us(220), "us");
    // The target latency is too short for the own region, so that all regions are considered.
    const double placement_400 = placement_us(400);
    add("placement among 400 endpoints", placement_400, "us").upper_bound = 25;
    add("placement, 2600 to 400 endpoints", placement_us(2600) / placement_400, "ratio").upper_bound =
        2600.0 / 400 * 1.5;
    add("route match, 8 teams", route_8, "us");
    add("route match, 800 teams", route_800, "us");
    add("peer message encode and decode", peer_message_us(), "us");
    add("home of a team, 24 hosts", team_home_us(24), "us");
    add("home of a team, 870 hosts", team_home_us(870), "us");
    add("look-up order, 24 hosts", lookup_24, "us");
    add("look-up order, 870 hosts", lookup_870, "us");
    add("catalog decode, 100 teams", decode_100, "us");
    add("catalog decode, 800 teams", decode_800, "us");
    // The cost may grow in proportion to the input, 870/24 hosts and 800/100 teams, with a margin of 50 % for
    // cache misses.
    add("look-up order, 870 to 24 hosts", lookup_870 / lookup_24, "ratio").upper_bound = 870.0 / 24 * 1.5;
    add("catalog decode, 800 to 100 teams", decode_800 / decode_100, "ratio").upper_bound = 8 * 1.5;
    // The cost of a request must not grow with the number of teams: a map look-up, not a scan over all teams.
    add("route match, 800 to 8 teams", route_800 / route_8, "ratio").upper_bound = 4;
    return figures;
}

} // namespace lycheegap::benchmarks
