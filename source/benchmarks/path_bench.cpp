#include "path_bench.h"

#include <algorithm>
#include <thread>

#include <fmt/format.h>

#include "core/common/digest.h"
#include "core/common/last_reason.h"
#include "core/schema/codec.h"
#include "core/schema/generated/operators_generated.h"
#include "failure_tests/fleet.h"
#include "lycheegap_load/load_run.h"

namespace lycheegap::benchmarks {

namespace {

using failure_tests::fleet;

constexpr std::string_view surging_team = "surging";
/// Store calls per second of the whole fleet. The store takes two thousand reads, but only several hundred
/// writes.
constexpr double max_store_calls_per_s = 2000;

/// Load of one team: its send rate in requests per second, and the outcome of each request.
struct team_load {
    std::string name;
    double rate{0};
    std::vector<load::request_result> ends;
};

void set_link_delays(fleet& it, const deployment& config) {
    const auto region_of_host = [&](std::size_t n) {
        return region_of(config.failure_domains[n % config.failure_domains.size()]);
    };
    for (std::size_t to = 0; to < it.hosts.size(); ++to) {
        for (std::size_t from = 0; from < it.hosts.size(); ++from) {
            const bool same_region = region_of_host(to) == region_of_host(from);
            const int delay = same_region ? config.domain_delay_ms : config.region_delay_ms;
            send_test_request(
                it, it.link_control_address, "POST",
                fmt::format("/control?route=peer-{}&from={}&delay_ms={}", to + 1, it.hosts[from].ip, delay));
        }
        // The store is in the region of the first host.
        const int delay =
            region_of_host(to) == region_of_host(0) ? config.domain_delay_ms : config.region_delay_ms;
        send_test_request(it, it.link_control_address, "POST",
                          fmt::format("/control?route=store-{}&delay_ms={}", to + 1, delay));
    }
}

void configure_endpoints(fleet& it, const deployment& config) {
    for (const auto& endpoint : it.endpoints) {
        send_test_request(it, endpoint.address, "POST",
                          fmt::format("/control?slots={}&service_ms={}", config.slots, config.service_ms));
    }
}

std::vector<team_load> plan_teams(const deployment& config) {
    std::vector<team_load> teams;
    teams.reserve(static_cast<std::size_t>(config.teams) + 1);
    for (int n = 0; n < config.teams; ++n) {
        teams.push_back({fmt::format("team-{}", n + 1), config.rate * config.inside_share, {}});
    }
    teams.push_back({std::string(surging_team), config.rate * config.surge, {}});
    return teams;
}

load::load_plan make_load_plan(const fleet& it, const deployment& config, const team_load& team,
                               std::size_t index) {
    load::load_plan plan;
    for (const auto& host : it.hosts) {
        plan.lookup_addresses.push_back(host.lookup_address);
    }
    plan.region = region_of(config.failure_domains[index % config.failure_domains.size()]);
    plan.key = "key-of-" + team.name;
    plan.path = "/forecast/klitmoller";
    plan.rate = team.rate;
    plan.seconds = config.seconds;
    plan.seed = index + 1;
    return plan;
}

/// Runs the load of all teams and stops the last host gracefully half-way; returns the duration of that stop
/// in ms.
double run_teams(fleet& it, const deployment& config, std::vector<team_load>& teams) {
    std::vector<std::thread> load_threads;
    for (std::size_t n = 0; n < teams.size(); ++n) {
        load_threads.emplace_back(
            [&, n] { teams[n].ends = load::run_load(make_load_plan(it, config, teams[n], n)); });
    }
    std::this_thread::sleep_for(std::chrono::duration<double>(config.seconds / 2));
    const auto started_at = common::monotonic::now();
    failure_tests::stop_child(it.hosts.back().process);
    const double drain_ms = common::seconds_between(started_at, common::monotonic::now()) * 1000;
    for (auto& load_thread : load_threads) {
        load_thread.join();
    }
    return drain_ms;
}

/// Store calls of all hosts since their starts. A stopped host gives no dump and counts as 0.
std::uint64_t store_calls(fleet& it) {
    std::uint64_t calls = 0;
    for (const auto& host : it.hosts) {
        const auto dump = schema::from_json<schema::host_dump>(fetch_dump(it, host), host.name);
        calls += dump ? dump->store_calls : 0;
    }
    return calls;
}

/// Counts every endpoint that does not report keys_seen=0, so also one that does not answer.
std::uint64_t count_endpoints_with_key(fleet& it) {
    std::uint64_t count = 0;
    for (const auto& endpoint : it.endpoints) {
        const auto answer = send_test_request(it, endpoint.address, "GET", "/record");
        const bool no_key = answer && answer->body.find("keys_seen=0") != std::string::npos;
        count += no_key ? 0 : 1;
    }
    return count;
}

/// Results of all teams. `in_rate_sent`, `in_rate_refused`, `min_served_share` and `latencies_ms` leave the
/// surging team out; `in_rate_refused` counts refusals with the reason "rate" only.
struct load_totals {
    std::vector<double> latencies_ms;
    double in_rate_sent{0};
    double in_rate_refused{0};
    double min_served_share{1};
    double surging_answered{0};
    double answered{0};
    double unknown{0};
    double not_sent{0};
};

void add_team_results(load_totals& totals, const team_load& team) {
    double answered = 0;
    double refused = 0;
    for (const auto& it : team.ends) {
        answered += it.final_outcome == load::outcome::answered ? 1 : 0;
        refused += it.final_outcome == load::outcome::not_run && it.reason == "rate" ? 1 : 0;
        totals.unknown += it.final_outcome == load::outcome::unknown ? 1 : 0;
        totals.not_sent += it.final_outcome == load::outcome::not_sent ? 1 : 0;
    }
    totals.answered += answered;
    if (team.name == surging_team) {
        totals.surging_answered = answered;
        return;
    }
    for (const auto& it : team.ends) {
        if (it.final_outcome == load::outcome::answered) {
            totals.latencies_ms.push_back(it.latency_ms);
        }
    }
    const auto sent = static_cast<double>(team.ends.size());
    totals.in_rate_sent += sent;
    totals.in_rate_refused += refused;
    totals.min_served_share = std::min(totals.min_served_share, sent > 0 ? answered / sent : 1);
}

std::vector<figure> make_figures(const deployment& config, load_totals& totals, double elapsed_s) {
    std::vector<figure> figures;
    const auto add = [&](std::string name, double value, std::string unit) -> figure& {
        return figures.emplace_back(figure{config.name, std::move(name), value, std::move(unit)});
    };
    for (const double share : {0.5, 0.9, 0.99}) {
        add(fmt::format("latency p{:.0f}, teams inside their rate", share * 100),
            percentile(totals.latencies_ms, share), "ms");
    }
    const double busy_slot_s = totals.answered * config.service_ms / 1000;
    const double total_slot_s = elapsed_s * config.endpoints * config.slots;
    add("headroom of endpoint slots", 100 * (1 - busy_slot_s / total_slot_s), "%");
    add("requests of teams inside their rate", totals.in_rate_sent, "requests");
    // A single ideal token bucket would refuse none; a stall of the machine may bunch a few requests.
    add("refused inside the rate", 100 * totals.in_rate_refused / std::max(1.0, totals.in_rate_sent), "%")
        .upper_bound = 1;
    add("worst-served team inside its rate", 100 * totals.min_served_share, "%").lower_bound = 95;
    // A token bucket admits at most its burst plus its rate times the elapsed time.
    add("answered to the surging team", totals.surging_answered, "requests").upper_bound =
        config.burst + config.rate * elapsed_s;
    // A graceful stop must not interrupt any request.
    add("answers lost or unknown", totals.unknown, "requests").upper_bound = 0;
    add("no host reachable", totals.not_sent, "requests");
    return figures;
}

bool configure_fleet(fleet& it, const deployment& config, const std::vector<team_load>& teams) {
    std::vector<std::string> names;
    names.reserve(teams.size());
    for (const auto& team : teams) {
        names.push_back(team.name);
    }
    configure_endpoints(it, config);
    if (!create_teams(it, names, config.rate, config.burst)) {
        return false;
    }
    set_link_delays(it, config);
    return true;
}

} // namespace

std::optional<std::vector<figure>> run_path_bench(const deployment& config) {
    failure_tests::fleet_options options;
    options.hosts = config.hosts;
    options.endpoints = config.endpoints;
    options.failure_domains = config.failure_domains;
    options.use_link_stand_in = true;
    const auto it = failure_tests::start_fleet(options);
    auto teams = plan_teams(config);
    if (!it || !configure_fleet(*it, config, teams)) {
        return common::fail(common::step::run, config.name, "the fleet did not start");
    }
    // The token buckets start empty: waits until they are full.
    std::this_thread::sleep_for(std::chrono::duration<double>(config.burst / config.rate));
    const auto calls_before = store_calls(*it);
    const auto started_at = common::monotonic::now();
    const double drain_ms = run_teams(*it, config, teams);
    const double elapsed_s = common::seconds_between(started_at, common::monotonic::now());
    load_totals totals;
    for (const auto& team : teams) {
        add_team_results(totals, team);
    }
    auto figures = make_figures(config, totals, elapsed_s);
    figures.push_back({config.name, "planned stop of a host", drain_ms, "ms"});
    const auto calls = static_cast<double>(store_calls(*it)) - static_cast<double>(calls_before);
    figures.push_back({config.name, "store calls a second", calls / elapsed_s, "calls/s"});
    figures.back().upper_bound = max_store_calls_per_s;
    figures.push_back({config.name, "endpoints that saw a key",
                       static_cast<double>(count_endpoints_with_key(*it)), "endpoints"});
    figures.back().upper_bound = 0;
    return figures;
}

} // namespace lycheegap::benchmarks
