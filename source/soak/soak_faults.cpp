#include "soak_faults.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <random>

#include <fmt/format.h>

namespace lycheegap::soak {

namespace {

using common::milliseconds;

struct fault_name {
    fault_kind kind;
    std::string_view name;
};

constexpr std::array fault_names = {
    fault_name{fault_kind::kill_host, "kill_host"},
    fault_name{fault_kind::stop_host, "stop_host"},
    fault_name{fault_kind::pause_host, "pause_host"},
    fault_name{fault_kind::kill_endpoint, "kill_endpoint"},
    fault_name{fault_kind::pause_endpoint, "pause_endpoint"},
    fault_name{fault_kind::drain_endpoint, "drain_endpoint"},
    fault_name{fault_kind::silent_answers, "silent_answers"},
    fault_name{fault_kind::cut_endpoint, "cut_endpoint"},
    fault_name{fault_kind::silence_endpoint, "silence_endpoint"},
    fault_name{fault_kind::delay_endpoint, "delay_endpoint"},
    fault_name{fault_kind::cut_store, "cut_store"},
    fault_name{fault_kind::store_outage, "store_outage"},
    fault_name{fault_kind::store_outage_leases_run, "store_outage_leases_run"},
    fault_name{fault_kind::store_loses_answers, "store_loses_answers"},
    fault_name{fault_kind::store_slow, "store_slow"},
    fault_name{fault_kind::store_drops_history, "store_drops_history"},
    fault_name{fault_kind::change_configuration, "change_configuration"},
    fault_name{fault_kind::change_configuration_often, "change_configuration_often"},
    fault_name{fault_kind::limit_endpoint, "limit_endpoint"},
    fault_name{fault_kind::restore_store, "restore_store"},
    fault_name{fault_kind::write_odd_entries, "write_odd_entries"},
};

// Time between the begins of successive faults, and the length of a fault.
constexpr int min_gap_ms = 100;
constexpr int max_gap_ms = 2500;
constexpr int min_length_ms = 100;
constexpr int max_length_ms = 5000;
constexpr milliseconds version_gap{330};
// Begin and length of a limit: hosts have to keep it for 4 s windows that begin 4 s after the first answer
// with it.
constexpr int max_limit_begin_ms = 2000;
constexpr int min_limit_length_ms = 9000;
constexpr int max_limit_length_ms = 14'000;
constexpr int limited_endpoints = 2;
constexpr std::array limits_per_s = {0.5, 1.0, 2.5, 4.0, 8.0};
// Age of the copy from which the store comes back.
constexpr int min_copy_age_ms = 500;
constexpr int max_copy_age_ms = 6000;

bool targets_host(fault_kind kind) {
    return kind == fault_kind::kill_host || kind == fault_kind::stop_host || kind == fault_kind::pause_host ||
           kind == fault_kind::cut_store;
}

std::string cut_query(const std::string& route, bool cut) {
    return fmt::format("route={}&cut={}", route, cut ? 1 : 0);
}

void signal_host(soak_fleet& fleet, std::size_t n, int signal) {
    failure_tests::send_signal(fleet.hosts[n].process, signal);
}

void begin_process_fault(soak_fleet& fleet, const planned_fault& fault) {
    switch (fault.kind) {
    case fault_kind::kill_host:
        failure_tests::kill_child(fleet.hosts[fault.target].process);
        break;
    case fault_kind::stop_host:
        // A paused process handles SIGTERM only after SIGCONT.
        signal_host(fleet, fault.target, SIGCONT);
        signal_host(fleet, fault.target, SIGTERM);
        break;
    case fault_kind::pause_host:
        signal_host(fleet, fault.target, SIGSTOP);
        break;
    case fault_kind::kill_endpoint:
        failure_tests::kill_child(fleet.endpoints[fault.target].process);
        break;
    case fault_kind::pause_endpoint:
        failure_tests::send_signal(fleet.endpoints[fault.target].process, SIGSTOP);
        break;
    default:
        break;
    }
}

void end_process_fault(soak_fleet& fleet, const planned_fault& fault) {
    switch (fault.kind) {
    case fault_kind::kill_host:
    case fault_kind::stop_host: {
        auto& process = fleet.hosts[fault.target].process;
        if (process.pid > 0) {
            failure_tests::stop_child(process);
        }
        start_host(fleet, fault.target);
        break;
    }
    case fault_kind::pause_host:
        signal_host(fleet, fault.target, SIGCONT);
        break;
    case fault_kind::kill_endpoint:
    case fault_kind::drain_endpoint:
        // A drained endpoint ends; its successor process has the same id.
        failure_tests::kill_child(fleet.endpoints[fault.target].process);
        start_endpoint(fleet, fault.target);
        break;
    case fault_kind::pause_endpoint:
        failure_tests::send_signal(fleet.endpoints[fault.target].process, SIGCONT);
        break;
    default:
        break;
    }
}

/// Begins (`active`) or ends a fault of an endpoint or of a link.
void set_link_fault(soak_fleet& fleet, const planned_fault& fault, bool active) {
    const auto target = fault.target;
    switch (fault.kind) {
    case fault_kind::drain_endpoint:
        if (active) {
            send_control(fleet, fleet.endpoints[target].address, "draining=1");
        }
        break;
    case fault_kind::silent_answers:
        send_control(fleet, fleet.endpoints[target].address,
                     fmt::format("silent_answers={}", active ? 3 : 0));
        break;
    case fault_kind::cut_endpoint:
        send_control(fleet, fleet.link_control_address, cut_query(fleet.endpoints[target].id, active));
        break;
    case fault_kind::silence_endpoint:
        if (active) {
            send_control(fleet, fleet.link_control_address,
                         fmt::format("route={}&silence=1", fleet.endpoints[target].id));
        }
        break;
    case fault_kind::limit_endpoint:
        send_control(fleet, fleet.endpoints[target].address,
                     active ? fmt::format("limit={}", fault.limit_per_s) : "limit=");
        break;
    case fault_kind::delay_endpoint:
        send_control(fleet, fleet.link_control_address,
                     fmt::format("route={}&delay_ms={}", fleet.endpoints[target].id, active ? 150 : 0));
        break;
    case fault_kind::cut_store:
        send_control(fleet, fleet.link_control_address,
                     cut_query("store-" + fleet.hosts[target].name, active));
        break;
    default:
        break;
    }
}

/// Begins (`active`) or ends a fault of the store, or writes a new configuration.
void set_store_fault(soak_fleet& fleet, const planned_fault& fault, bool active) {
    const auto& store = fleet.store_address;
    switch (fault.kind) {
    case fault_kind::store_outage:
        send_control(fleet, store, active ? "outage=1&leases_run=0" : "outage=0");
        break;
    case fault_kind::store_outage_leases_run:
        send_control(fleet, store, active ? "outage=1&leases_run=1" : "outage=0");
        break;
    case fault_kind::store_loses_answers:
        send_control(fleet, store, active ? "loses_answers=1" : "loses_answers=0");
        break;
    case fault_kind::store_slow:
        send_control(fleet, store, active ? "delay_ms=300" : "delay_ms=0");
        break;
    case fault_kind::store_drops_history:
        send_control(fleet, store, active ? "drop_history=1" : "");
        break;
    case fault_kind::restore_store:
        send_control(fleet, store, active ? "keep_copy=1" : "restore=1");
        if (!active) {
            rewrite_configuration(fleet);
        }
        break;
    case fault_kind::change_configuration:
        if (active) {
            write_configuration(fleet, true);
        }
        break;
    case fault_kind::write_odd_entries:
        if (active) {
            write_odd_entries(fleet);
        }
        break;
    default:
        break;
    }
}

/// Appends the versions that follow each other during the fault.
void append_versions(std::vector<planned_fault>& plan, const planned_fault& fault) {
    for (auto at = fault.at; at < fault.at + fault.length; at += version_gap) {
        plan.push_back({fault_kind::change_configuration, fault.target, at, version_gap});
    }
}

/// Appends limits of endpoints, a restore of the store and entries of another writer. They are drawn apart
/// from the other faults, which a seed that is kept for them repeats.
void append_faults_of_every_run(std::vector<planned_fault>& plan, std::uint64_t seed, const soak_size& size) {
    std::mt19937_64 random(~seed);
    const auto draw = [&](int min, int max) { return std::uniform_int_distribution<int>(min, max)(random); };
    for (int n = 0; n < limited_endpoints; ++n) {
        planned_fault limit{.kind = fault_kind::limit_endpoint};
        limit.target = static_cast<std::size_t>(draw(0, static_cast<int>(size.endpoints) - 2));
        limit.at = milliseconds{draw(0, max_limit_begin_ms)};
        limit.length = milliseconds{draw(min_limit_length_ms, max_limit_length_ms)};
        limit.limit_per_s =
            limits_per_s[static_cast<std::size_t>(draw(0, static_cast<int>(limits_per_s.size()) - 1))];
        const auto same = [&](const auto& it) { return it.kind == limit.kind && it.target == limit.target; };
        if (std::none_of(plan.begin(), plan.end(), same)) {
            plan.push_back(limit);
        }
    }
    planned_fault restore{.kind = fault_kind::restore_store};
    restore.at = milliseconds{draw(0, static_cast<int>(size.fault_phase_length.count()))};
    restore.length = milliseconds{draw(min_copy_age_ms, max_copy_age_ms)};
    plan.push_back(restore);
    planned_fault odd_entries{.kind = fault_kind::write_odd_entries};
    odd_entries.at = milliseconds{draw(0, static_cast<int>(size.fault_phase_length.count()))};
    plan.push_back(odd_entries);
}

} // namespace

std::string_view name_of(fault_kind kind) {
    const auto found =
        std::find_if(fault_names.begin(), fault_names.end(), [&](const auto& it) { return it.kind == kind; });
    return found == fault_names.end() ? "unknown" : found->name;
}

std::vector<planned_fault> plan_faults(std::uint64_t seed, const soak_size& size) {
    std::mt19937_64 random(seed);
    const auto draw = [&](int min, int max) { return std::uniform_int_distribution<int>(min, max)(random); };
    std::vector<planned_fault> plan;
    milliseconds at{0};
    while (true) {
        at += milliseconds{draw(min_gap_ms, max_gap_ms)};
        if (at >= size.fault_phase_length) {
            append_faults_of_every_run(plan, seed, size);
            std::stable_sort(plan.begin(), plan.end(),
                             [](const auto& a, const auto& b) { return a.at < b.at; });
            return plan;
        }
        planned_fault fault;
        fault.kind = static_cast<fault_kind>(draw(0, static_cast<int>(fault_kind::count) - 1));
        // The last host and the last endpoint are never a target.
        const auto targets = (targets_host(fault.kind) ? size.hosts : size.endpoints) - 1;
        fault.target = static_cast<std::size_t>(draw(0, static_cast<int>(targets) - 1));
        fault.at = at;
        fault.length = milliseconds{draw(min_length_ms, max_length_ms)};
        if (fault.kind == fault_kind::change_configuration_often) {
            append_versions(plan, fault);
        } else {
            plan.push_back(fault);
        }
    }
}

void begin_fault(soak_fleet& fleet, const planned_fault& fault) {
    begin_process_fault(fleet, fault);
    set_link_fault(fleet, fault, true);
    set_store_fault(fleet, fault, true);
}

void end_fault(soak_fleet& fleet, const planned_fault& fault) {
    end_process_fault(fleet, fault);
    set_link_fault(fleet, fault, false);
    set_store_fault(fleet, fault, false);
}

} // namespace lycheegap::soak
