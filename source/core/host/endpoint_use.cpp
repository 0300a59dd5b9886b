#include "endpoint_use.h"

#include <algorithm>
#include <mutex>

#include "host_state.h"

namespace lycheegap::host {

namespace {

using common::monotonic;

constexpr auto avoid_after_failure = common::milliseconds(500);

steering::endpoint_state fresh_state(const std::string& service, const catalog::endpoint& source) {
    steering::endpoint_state state;
    state.service = service;
    state.name = source.name;
    state.address = source.address;
    state.region = source.region;
    state.slots = source.slots;
    return state;
}

std::vector<steering::endpoint_state> merged_states(const catalog::service& service,
                                                    const std::vector<steering::endpoint_state>& before) {
    std::vector<steering::endpoint_state> after;
    for (const auto& it : service.endpoints) {
        auto state = fresh_state(service.name, it);
        const auto same_address = [&](const auto& old) { return old.address == it.address; };
        const auto known = std::find_if(before.begin(), before.end(), same_address);
        if (known != before.end()) {
            state.in_flight = known->in_flight;
            state.latency_ms = known->latency_ms;
            state.avoid_until = known->avoid_until;
        }
        after.push_back(std::move(state));
    }
    return after;
}

} // namespace

std::optional<std::string> take_endpoint(host_state& host, std::string_view service,
                                         std::string_view excluded) {
    const std::lock_guard guard(host.endpoints.mutex);
    const auto it = host.endpoints.services.find(service);
    if (it == host.endpoints.services.end()) {
        return std::nullopt;
    }
    const auto chosen = steering::choose_endpoint(it->second, host.self.region, excluded, monotonic::now(),
                                                  host.endpoints.random);
    if (!chosen) {
        return std::nullopt;
    }
    auto& endpoint = it->second[*chosen];
    ++endpoint.in_flight;
    return endpoint.address;
}

void give_back_endpoint(host_state& host, std::string_view service, std::string_view address,
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
        if (result == execution::attempt_result::answered) {
            steering::note_latency(endpoint, latency_ms);
        } else {
            endpoint.avoid_until = monotonic::now() + avoid_after_failure;
        }
    }
}

void take_services(host_state& host, const catalog::configuration& configuration) {
    const std::lock_guard guard(host.endpoints.mutex);
    std::map<std::string, std::vector<steering::endpoint_state>, std::less<>> services;
    for (const auto& [name, service] : configuration.services) {
        services[name] = merged_states(service, host.endpoints.services[name]);
    }
    host.endpoints.services.swap(services);
}

} // namespace lycheegap::host
