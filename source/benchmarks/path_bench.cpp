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
/// Store calls a second of the whole fleet: several hundred writes, two thousand reads.
constexpr double store_calls_limit = 2000;

/// What one team's callers saw.
struct team_run {
    std::string name;
    double rate{0};
    std::vector<load::request_end> ends;
};

void set_delays(fleet& it, const deployment& where) {
    const auto region_of_host = [&](std::size_t n) {
        return region_of(where.failure_domains[n % where.failure_domains.size()]);
    };
    for (std::size_t to = 0; to < it.hosts.size(); ++to) {
        for (std::size_t from = 0; from < it.hosts.size(); ++from) {
            const bool near = region_of_host(to) == region_of_host(from);
            const int delay = near ? where.domain_delay_ms : where.region_delay_ms;
            ask(it, it.link_control, "POST",
                fmt::format("/control?route=peer-{}&from={}&delay_ms={}", to + 1, it.hosts[from].ip, delay));
        }
        // The store stands in the first region.
        const int delay =
            region_of_host(to) == region_of_host(0) ? where.domain_delay_ms : where.region_delay_ms;
        ask(it, it.link_control, "POST", fmt::format("/control?route=store-{}&delay_ms={}", to + 1, delay));
    }
}

void set_endpoints(fleet& it, const deployment& where) {
    for (const auto& endpoint : it.endpoints) {
        ask(it, endpoint.address, "POST",
            fmt::format("/control?slots={}&service_ms={}", where.slots, where.service_ms));
    }
}

std::vector<team_run> plan_teams(const deployment& where) {
    std::vector<team_run> teams;
    teams.reserve(static_cast<std::size_t>(where.teams) + 1);
    for (int n = 0; n < where.teams; ++n) {
        teams.push_back({fmt::format("team-{}", n + 1), where.rate * where.inside_share, {}});
    }
    teams.push_back({std::string(surging_team), where.rate * where.surge, {}});
    return teams;
}

load::load_plan plan_of(const fleet& it, const deployment& where, const team_run& team, std::size_t index) {
    load::load_plan plan;
    for (const auto& host : it.hosts) {
        plan.lookup_addresses.push_back(host.lookup);
    }
    plan.region = region_of(where.failure_domains[index % where.failure_domains.size()]);
    plan.key = "key-of-" + team.name;
    plan.path = "/forecast/klitmoller";
    plan.rate = team.rate;
    plan.seconds = where.seconds;
    plan.seed = index + 1;
    return plan;
}

/// Runs all teams' load; returns how long the planned stop of the last host took, in ms.
double run_teams(fleet& it, const deployment& where, std::vector<team_run>& teams) {
    std::vector<std::thread> callers;
    for (std::size_t n = 0; n < teams.size(); ++n) {
        callers.emplace_back([&, n] { teams[n].ends = load::run_load(plan_of(it, where, teams[n], n)); });
    }
    std::this_thread::sleep_for(std::chrono::duration<double>(where.seconds / 2));
    const auto began_at = common::monotonic::now();
    failure_tests::stop_child(it.hosts.back().process);
    const double drain_ms = common::seconds_between(began_at, common::monotonic::now()) * 1000;
    for (auto& caller : callers) {
        caller.join();
    }
    return drain_ms;
}

std::uint64_t store_calls(fleet& it) {
    std::uint64_t calls = 0;
    for (const auto& host : it.hosts) {
        const auto dump = schema::from_json<schema::host_dump>(dump_of(it, host), host.name);
        calls += dump ? dump->store_calls : 0;
    }
    return calls;
}

std::uint64_t keys_seen(fleet& it) {
    std::uint64_t keys = 0;
    for (const auto& endpoint : it.endpoints) {
        const auto answer = ask(it, endpoint.address, "GET", "/record");
        const bool none = answer && answer->body.find("keys_seen=0") != std::string::npos;
        keys += none ? 0 : 1;
    }
    return keys;
}

struct totals {
    std::vector<double> latencies_ms;
    double inside_sent{0};
    double inside_refused_for_rate{0};
    double worst_served_share{1};
    double surging_answered{0};
    double answered{0};
    double unknown{0};
    double not_sent{0};
};

void add_team(totals& sum, const team_run& team) {
    double answered = 0;
    double refused = 0;
    for (const auto& it : team.ends) {
        answered += it.how == load::outcome::answered ? 1 : 0;
        refused += it.how == load::outcome::not_run && it.reason == "rate" ? 1 : 0;
        sum.unknown += it.how == load::outcome::unknown ? 1 : 0;
        sum.not_sent += it.how == load::outcome::not_sent ? 1 : 0;
    }
    sum.answered += answered;
    if (team.name == surging_team) {
        sum.surging_answered = answered;
        return;
    }
    for (const auto& it : team.ends) {
        if (it.how == load::outcome::answered) {
            sum.latencies_ms.push_back(it.latency_ms);
        }
    }
    const auto sent = static_cast<double>(team.ends.size());
    sum.inside_sent += sent;
    sum.inside_refused_for_rate += refused;
    sum.worst_served_share = std::min(sum.worst_served_share, sent > 0 ? answered / sent : 1);
}

std::vector<figure> make_figures(const deployment& where, totals& sum, double elapsed_s) {
    std::vector<figure> figures;
    const auto add = [&](std::string name, double value, std::string unit) -> figure& {
        return figures.emplace_back(figure{where.name, std::move(name), value, std::move(unit)});
    };
    for (const double share : {0.5, 0.9, 0.99}) {
        add(fmt::format("latency p{:.0f}, teams inside their rate", share * 100),
            percentile(sum.latencies_ms, share), "ms");
    }
    const double busy = sum.answered * where.service_ms / 1000;
    const double whole = elapsed_s * where.endpoints * where.slots;
    add("headroom of endpoint slots", 100 * (1 - busy / whole), "%");
    add("requests of teams inside their rate", sum.inside_sent, "requests");
    // An ideal central bucket refuses none; a stalled machine may bunch a few requests.
    add("refused inside the rate", 100 * sum.inside_refused_for_rate / std::max(1.0, sum.inside_sent), "%")
        .most = 1;
    add("worst-served team inside its rate", 100 * sum.worst_served_share, "%").least = 95;
    // Never more than the bucket: its burst and its rate over the time in which answers came.
    add("answered to the surging team", sum.surging_answered, "requests").most =
        where.burst + where.rate * elapsed_s;
    // A planned stop cuts no request.
    add("answers lost or unknown", sum.unknown, "requests").most = 0;
    add("no host reachable", sum.not_sent, "requests");
    return figures;
}

bool set_up(fleet& it, const deployment& where, const std::vector<team_run>& teams) {
    std::vector<std::string> names;
    names.reserve(teams.size());
    for (const auto& team : teams) {
        names.push_back(team.name);
    }
    set_endpoints(it, where);
    if (!set_up_teams(it, names, where.rate, where.burst)) {
        return false;
    }
    set_delays(it, where);
    return true;
}

} // namespace

std::optional<std::vector<figure>> run_path_bench(const deployment& where) {
    failure_tests::fleet_options options;
    options.hosts = where.hosts;
    options.endpoints = where.endpoints;
    options.failure_domains = where.failure_domains;
    options.with_links = true;
    const auto it = failure_tests::start_fleet(options);
    auto teams = plan_teams(where);
    if (!it || !set_up(*it, where, teams)) {
        return common::fail(common::step::run, where.name, "the fleet did not start");
    }
    // Buckets start empty.
    std::this_thread::sleep_for(std::chrono::duration<double>(where.burst / where.rate));
    const auto calls_before = store_calls(*it);
    const auto began_at = common::monotonic::now();
    const double drain_ms = run_teams(*it, where, teams);
    const double elapsed_s = common::seconds_between(began_at, common::monotonic::now());
    totals sum;
    for (const auto& team : teams) {
        add_team(sum, team);
    }
    auto figures = make_figures(where, sum, elapsed_s);
    figures.push_back({where.name, "planned stop of a host", drain_ms, "ms"});
    const auto calls = static_cast<double>(store_calls(*it)) - static_cast<double>(calls_before);
    figures.push_back({where.name, "store calls a second", calls / elapsed_s, "calls/s"});
    figures.back().most = store_calls_limit;
    figures.push_back(
        {where.name, "endpoints that saw a key", static_cast<double>(keys_seen(*it)), "endpoints"});
    figures.back().most = 0;
    return figures;
}

} // namespace lycheegap::benchmarks
