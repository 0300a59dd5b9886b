#include "endpoint_control.h"

#include <mutex>

#include <fmt/format.h>

namespace lycheegap::stand_ins {

namespace {

using common::monotonic;
using transport::parse_uint_or;
using transport::query_parameter;

bool is_set(std::string_view query, std::string_view name) {
    return parse_uint_or(query_parameter(query, name), 0) != 0;
}

/// Sets `target` when the parameter is a number; any negative value is stored as -1.
void update_number(std::string_view query, std::string_view name, int& target) {
    const auto text = query_parameter(query, name);
    if (text.starts_with('-')) {
        target = -1;
        return;
    }
    target = static_cast<int>(parse_uint_or(text, static_cast<std::uint64_t>(target)));
}

void update_flag(std::string_view query, std::string_view name, bool& target) {
    target = parse_uint_or(query_parameter(query, name), target ? 1 : 0) != 0;
}

void stall_connections(endpoint_table& endpoint, stall_point point) {
    for (auto& [name, it] : endpoint.connections) {
        it = point;
    }
}

/// Applies the one-time effects of a query: a cold period that starts now, stalled connections.
void apply_events(endpoint_table& endpoint, std::string_view query) {
    if (is_set(query, "cold")) {
        endpoint.cold_since = monotonic::now();
    }
    const auto silent = parse_uint_or(query_parameter(query, "silent"), 0);
    if (silent != 0) {
        stall_connections(endpoint, silent == 1 ? stall_point::before_run : stall_point::after_run);
    }
}

} // namespace

transport::http_response set_behaviour(endpoint_table& endpoint, std::string_view query) {
    const std::lock_guard guard(endpoint.mutex);
    auto& it = endpoint.behaviour;
    const bool was_draining = it.draining;
    update_number(query, "slots", it.slots);
    update_number(query, "service_ms", it.service_ms);
    update_number(query, "connection_ms", it.connection_ms);
    update_number(query, "probe_ms", it.probe_ms);
    update_number(query, "report_percent", it.report_percent);
    update_number(query, "report_lag_ms", it.report_lag_ms);
    update_number(query, "cold_ms", it.cold_ms);
    update_number(query, "cold_factor", it.cold_factor);
    update_flag(query, "shed", it.shed);
    update_flag(query, "drain", it.draining);
    update_flag(query, "hide_drain", it.hide_drain);
    if (it.draining && !was_draining) {
        endpoint.draining_since = monotonic::now();
    }
    apply_events(endpoint, query);
    return {200, {}, "done\n"};
}

transport::http_response report_runs(endpoint_table& endpoint) {
    const std::lock_guard guard(endpoint.mutex);
    const auto& counts = endpoint.counts;
    auto text =
        fmt::format("runs={} shed={} keys_seen={} connections={} probes={} cancelled={} expired={} "
                    "runs_in_drain={} last_run_in_drain_ms={}\n",
                    endpoint.runs.size(), counts.shed, counts.keys_seen, counts.connections, counts.probes,
                    counts.cancelled, counts.expired, counts.runs_in_drain, counts.last_run_in_drain_ms);
    for (const auto& it : endpoint.runs) {
        text += fmt::format("{} {}\n", it.request_id, it.path);
    }
    return {200, {}, std::move(text)};
}

} // namespace lycheegap::stand_ins
