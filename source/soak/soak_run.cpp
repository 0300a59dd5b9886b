#include "soak_run.h"

#include <algorithm>
#include <filesystem>
#include <queue>
#include <thread>

#include <fmt/format.h>

#include "failure_tests/fleet.h"
#include "soak_calls.h"
#include "soak_faults.h"
#include "soak_fleet.h"

namespace lycheegap::soak {

namespace {

using common::milliseconds;
using common::monotonic;

// Bounds that the users require. After `stable_time` without a fault all hosts count as connected. The others
// are the longest times until a new configuration is in force, until a draining endpoint gets no new
// requests, and until all hosts serve again after the last fault.
constexpr milliseconds stable_time{4000};
constexpr milliseconds config_apply_limit{2500};
constexpr milliseconds drain_limit{2500};
constexpr milliseconds recovery_limit{15'000};
// Load without faults over which the share of served requests is measured.
constexpr milliseconds recovery_measurement{3000};
// Least share of the requests of teams without a rate limit that must be served after recovery.
constexpr double min_served_ratio = 0.95;
// Allowed excess of a team's runs in one window over its rate limit: a factor, and a number of requests.
constexpr double rate_tolerance_factor = 1.1;
constexpr double rate_tolerance_requests = 20;
constexpr std::int64_t rate_window_ms = 5000;
constexpr int status_ok = 200;

/// The begin or the end of a planned fault.
struct fault_step {
    common::time_point at;
    /// Index in the plan.
    std::size_t fault{0};
    bool begins{true};
};

/// Begins and ends the planned faults at their times; returns after the last end.
void inject_faults(soak_fleet& fleet, std::span<const planned_fault> plan) {
    const auto start = monotonic::now();
    std::vector<fault_step> steps;
    for (std::size_t n = 0; n < plan.size(); ++n) {
        steps.push_back({start + plan[n].at, n, true});
        steps.push_back({start + plan[n].at + plan[n].length, n, false});
    }
    std::sort(steps.begin(), steps.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    for (const auto& it : steps) {
        std::this_thread::sleep_until(it.at);
        if (it.begins) {
            begin_fault(fleet, plan[it.fault]);
        } else {
            end_fault(fleet, plan[it.fault]);
        }
    }
}

template <typename Record>
void append(std::vector<Record>& to, std::vector<Record> more) {
    std::move(more.begin(), more.end(), std::back_inserter(to));
}

/// Runs in the logs of all endpoints.
std::vector<run_record> all_runs(const soak_fleet& fleet) {
    std::vector<run_record> runs;
    for (const auto& it : fleet.endpoints) {
        append(runs, parse_runs(it.id, failure_tests::read_log(it.process)));
    }
    append(runs, parse_runs(fleet.uploads.id, failure_tests::read_log(fleet.uploads.process)));
    return runs;
}

/// Requests that reached the endpoints.
std::vector<run_record> all_arrivals(const soak_fleet& fleet) {
    std::vector<run_record> arrivals;
    for (const auto& it : fleet.endpoints) {
        append(arrivals, parse_arrivals(it.id, failure_tests::read_log(it.process)));
    }
    return arrivals;
}

bool disturbs_host(fault_kind kind) {
    return kind == fault_kind::kill_host || kind == fault_kind::stop_host || kind == fault_kind::pause_host ||
           kind == fault_kind::cut_store;
}

bool disturbs_endpoint(fault_kind kind) {
    return kind == fault_kind::pause_endpoint || kind == fault_kind::cut_endpoint ||
           kind == fault_kind::silence_endpoint || kind == fault_kind::delay_endpoint;
}

/// The endpoint's process ends and starts anew, without a limit.
bool restarts_endpoint(fault_kind kind) {
    return kind == fault_kind::kill_endpoint || kind == fault_kind::drain_endpoint;
}

/// Periods of the planned limits, without the times in which the endpoint was disturbed.
std::vector<limit_period> limit_periods(const soak_fleet& fleet, std::span<const planned_fault> plan,
                                        std::int64_t begin_ms) {
    std::vector<limit_period> periods;
    for (const auto& it : plan) {
        if (it.kind != fault_kind::limit_endpoint) {
            continue;
        }
        const auto from_ms = begin_ms + it.at.count();
        limit_period period{fleet.endpoints[it.target].id, it.limit_per_s, from_ms,
                            from_ms + it.length.count()};
        const auto end_ms = period.to_ms;
        // The plan is ordered by begin.
        for (const auto& other : plan) {
            const auto other_ms = begin_ms + other.at.count();
            if (other.target != it.target || other_ms + other.length.count() <= period.from_ms ||
                other_ms >= period.to_ms ||
                !(restarts_endpoint(other.kind) || disturbs_endpoint(other.kind))) {
                continue;
            }
            period.to_ms = other_ms;
            periods.push_back(period);
            period.from_ms = restarts_endpoint(other.kind) ? end_ms : other_ms + other.length.count();
            period.to_ms = end_ms;
        }
        periods.push_back(period);
    }
    return periods;
}

std::vector<host_disturbance> host_disturbances(const soak_fleet& fleet, std::span<const planned_fault> plan,
                                                std::int64_t begin_ms) {
    std::vector<host_disturbance> found;
    for (const auto& it : plan) {
        if (disturbs_host(it.kind)) {
            const auto from_ms = begin_ms + it.at.count();
            found.push_back({fleet.hosts[it.target].request_address, from_ms, from_ms + it.length.count()});
        }
    }
    return found;
}

/// Withdraws a key and checks that it stops working on every host while the other key of its team keeps
/// working.
void check_key_withdrawal(soak_fleet& fleet, std::vector<finding>& findings) {
    if (!write_configuration(fleet, false)) {
        findings.push_back({"the store accepts a configuration", "after the faults"});
        return;
    }
    std::this_thread::sleep_for(config_apply_limit);
    for (const auto& it : fleet.hosts) {
        if (serves(fleet, it, withdrawn_key)) {
            findings.push_back({"a withdrawn key stops working", fmt::format("host={}", it.name)});
        }
        if (!serves(fleet, it, team_key(1))) {
            findings.push_back({"each host serves after the faults", fmt::format("host={}", it.name)});
        }
    }
}

/// Drains an endpoint and checks that it gets no new requests after `drain_limit`.
void check_drain(soak_fleet& fleet, std::vector<finding>& findings) {
    const auto& drained = fleet.endpoints.front();
    send_control(fleet, drained.address, "draining=1");
    // The endpoint reports the drain to the store with its next lease renewal, up to 1 s later.
    std::this_thread::sleep_for(milliseconds{1000} + drain_limit);
    const auto before = parse_runs(drained.id, failure_tests::read_log(drained.process)).size();
    std::this_thread::sleep_for(milliseconds{1000});
    const auto after = parse_runs(drained.id, failure_tests::read_log(drained.process)).size();
    if (after > before) {
        findings.push_back({"a draining endpoint gets no new requests",
                            fmt::format("{} runs={}", drained.id, after - before)});
    }
}

/// Checks the share of served requests since `since_ms`, for teams without a rate limit.
void check_recovery(std::span<const call_record> calls, std::int64_t since_ms,
                    std::vector<finding>& findings) {
    std::size_t all = 0;
    std::size_t served = 0;
    for (const auto& it : calls) {
        if (it.sent_ms >= since_ms && it.team != 0 && !it.is_upload) {
            ++all;
            served += it.status == status_ok ? 1 : 0;
        }
    }
    if (static_cast<double>(served) < min_served_ratio * static_cast<double>(all) || all == 0) {
        findings.push_back(
            {"callers are served after recovery", fmt::format("served={} of={}", served, all)});
    }
}

std::vector<finding> check_replication(soak_fleet& fleet) {
    std::uint64_t bytes = 0;
    for (const auto& it : fleet.hosts) {
        bytes += replicated_bytes(fleet, it);
    }
    return check_replicated_bytes(bytes, fleet.hosts.size(),
                                  static_cast<std::uint64_t>(fleet.configuration_version));
}

/// Checks that a host that starts while another writer's entries stand in the list of endpoints serves.
void check_start_beside_odd_entries(soak_fleet& fleet, std::vector<finding>& findings) {
    write_odd_entries(fleet);
    auto& host = fleet.hosts.front();
    failure_tests::kill_child(host.process);
    start_host(fleet, 0);
    if (!failure_tests::wait_until(recovery_limit, [&] { return serves(fleet, host, team_key(1)); })) {
        findings.push_back({"a host that starts beside odd entries serves", host.name});
    }
}

/// Loses what was written since the copy, and waits until the store counts as stable. What was lost has more
/// revisions than are given out again by the end of the checks.
void restore_older_copy(soak_fleet& fleet, std::vector<finding>& findings) {
    constexpr int lost_writes = 100;
    for (int n = 0; n < lost_writes; ++n) {
        write_note(fleet);
    }
    const auto seen_by_hosts = monotonic::now() + config_apply_limit;
    check_start_beside_odd_entries(fleet, findings);
    std::this_thread::sleep_until(seen_by_hosts);
    send_control(fleet, fleet.store_address, "restore=1");
    rewrite_configuration(fleet);
    std::this_thread::sleep_for(stable_time);
}

/// Checks the guarantees that hold without faults: recovery, key withdrawal and draining. The key is
/// withdrawn after the store has come back from an older copy.
void check_after_faults(soak_fleet& fleet, soak_callers& callers, std::vector<finding>& findings) {
    const bool all_serve = failure_tests::wait_until(recovery_limit, [&] {
        return std::all_of(fleet.hosts.begin(), fleet.hosts.end(),
                           [&](const auto& it) { return serves(fleet, it, team_key(1)); });
    });
    if (!all_serve) {
        findings.push_back({"each host serves within the recovery time", fleet.folder});
    }
    std::this_thread::sleep_for(stable_time);
    send_control(fleet, fleet.store_address, "keep_copy=1");
    const auto recovered_at_ms = common::unix_milliseconds();
    std::this_thread::sleep_for(recovery_measurement);
    check_recovery(callers.records(), recovered_at_ms, findings);
    restore_older_copy(fleet, findings);
    check_key_withdrawal(fleet, findings);
    check_drain(fleet, findings);
}

} // namespace

soak_result run_soak(std::uint64_t seed, const soak_size& size) {
    soak_result result;
    result.faults = plan_faults(seed, size);
    const auto fleet = start_soak_fleet(size);
    if (!fleet) {
        return result;
    }
    result.started = true;
    result.folder = fleet->folder;
    soak_callers callers(*fleet, size.callers, seed);
    const auto begin_ms = common::unix_milliseconds();
    inject_faults(*fleet, result.faults);
    check_after_faults(*fleet, callers, result.findings);
    const auto calls = callers.stop();
    const auto runs = all_runs(*fleet);
    append(result.findings, check_calls(calls, runs));
    append(result.findings, check_replication(*fleet));
    append(result.findings,
           check_limits(all_arrivals(*fleet), calls, limit_periods(*fleet, result.faults, begin_ms),
                        host_disturbances(*fleet, result.faults, begin_ms)));
    const double max_runs =
        (limited_rate_per_s * 5 + limited_burst_requests) * rate_tolerance_factor + rate_tolerance_requests;
    append(result.findings, check_rate(runs, {team_name(0), rate_window_ms, max_runs}));
    result.calls = calls.size();
    for (const auto& it : calls) {
        ++result.calls_by_status[it.status];
    }
    if (result.findings.empty()) {
        std::filesystem::remove_all(fleet->folder);
    }
    return result;
}

} // namespace lycheegap::soak
