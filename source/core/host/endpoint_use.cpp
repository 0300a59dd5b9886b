#include "endpoint_use.h"

#include <algorithm>
#include <mutex>

#include "host_state.h"
#include "region_use.h"

namespace lycheegap::host {

namespace {

using common::monotonic;

constexpr std::string_view load_header = "x-load-percent";
constexpr std::string_view draining_header = "x-draining";
constexpr double percent = 100;

steering::endpoint_state make_endpoint_state(const std::string& service, const catalog::endpoint& source) {
    steering::endpoint_state state;
    state.service = service;
    state.name = source.name;
    state.address = source.address;
    state.region = source.region;
    state.slots = source.slots;
    return state;
}

/// Keeps the measured state of a known endpoint and takes the fields that the catalog defines from `fresh`.
steering::endpoint_state merge_measured_state(steering::endpoint_state fresh,
                                              const steering::endpoint_state& known) {
    auto merged = known;
    merged.service = std::move(fresh.service);
    merged.name = std::move(fresh.name);
    merged.region = std::move(fresh.region);
    merged.slots = fresh.slots;
    return merged;
}

std::vector<steering::endpoint_state> merge_endpoints(const catalog::service& service,
                                                      const std::vector<steering::endpoint_state>& before) {
    std::vector<steering::endpoint_state> after;
    for (const auto& it : service.endpoints) {
        auto state = make_endpoint_state(service.name, it);
        const auto same_address = [&](const auto& old) { return old.address == it.address; };
        const auto known = std::find_if(before.begin(), before.end(), same_address);
        after.push_back(known == before.end() ? std::move(state)
                                              : merge_measured_state(std::move(state), *known));
    }
    return after;
}

void record_attempt_result(steering::endpoint_state& endpoint, execution::attempt_result result,
                           double latency_ms, common::time_point now) {
    switch (result) {
    case execution::attempt_result::answered:
        steering::note_latency(endpoint, latency_ms, now);
        break;
    case execution::attempt_result::shed:
        steering::note_shed(endpoint, now);
        break;
    case execution::attempt_result::not_sent:
    case execution::attempt_result::lost:
        steering::note_failure(endpoint, now);
        break;
    }
}

} // namespace

std::optional<std::string> acquire_slot(host_state& host, std::string_view service,
                                        std::string_view excluded) {
    const std::lock_guard guard(host.endpoints.mutex);
    const auto it = host.endpoints.services.find(service);
    if (it == host.endpoints.services.end()) {
        return std::nullopt;
    }
    const auto region = pick_region(host.endpoints.regions[it->first], host.endpoints.random);
    const auto chosen =
        steering::choose_in_region(it->second, region, excluded, monotonic::now(), host.endpoints.random);
    if (!chosen) {
        return std::nullopt;
    }
    auto& endpoint = it->second[*chosen];
    ++endpoint.in_flight;
    return endpoint.address;
}

void release_slot(host_state& host, std::string_view service, std::string_view address,
                  execution::attempt_result result, double latency_ms) {
    const std::lock_guard guard(host.endpoints.mutex);
    const auto it = host.endpoints.services.find(service);
    if (it == host.endpoints.services.end()) {
        return;
    }
    for (auto& endpoint : it->second) {
        if (endpoint.address != address) {
            continue;
        }
        --endpoint.in_flight;
        record_attempt_result(endpoint, result, latency_ms, monotonic::now());
        host.endpoints.regions[it->first].used_slot_ms += latency_ms;
    }
}

void apply_answer_headers(host_state& host, std::string_view address,
                          const std::vector<execution::header>& headers) {
    const auto load = execution::find_header(headers, load_header);
    steering::endpoint_report report;
    report.load = static_cast<double>(transport::parse_uint_or(load, 0)) / percent;
    report.draining = !execution::find_header(headers, draining_header).empty();
    if (!load.empty() || report.draining) {
        apply_load_report(host, address, report, monotonic::now());
    }
}

void apply_load_report(host_state& host, std::string_view address, const steering::endpoint_report& report,
                       common::time_point measured_at) {
    const std::lock_guard guard(host.endpoints.mutex);
    for (auto& [service, endpoints] : host.endpoints.services) {
        for (auto& it : endpoints) {
            if (it.address == address && it.reported_at < measured_at) {
                steering::note_report(it, report, measured_at);
            }
        }
    }
}

void update_services(host_state& host, const catalog::configuration& configuration) {
    const std::lock_guard guard(host.endpoints.mutex);
    std::map<std::string, std::vector<steering::endpoint_state>, std::less<>> services;
    for (const auto& [name, service] : configuration.services) {
        services[name] = merge_endpoints(service, host.endpoints.services[name]);
        update_regions(host.endpoints.regions[name], services[name], host.self.region);
    }
    std::erase_if(host.endpoints.regions, [&](const auto& it) { return !services.contains(it.first); });
    host.endpoints.services.swap(services);
}

} // namespace lycheegap::host
