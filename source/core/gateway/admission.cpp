#include "admission.h"

#include <algorithm>
#include <mutex>
#include <numeric>

#include "core/traffic/placement.h"
#include "message_headers.h"

namespace lycheegap::gateway {

namespace {

using common::milliseconds;
using common::monotonic;

// Wait of a caller that states none.
constexpr milliseconds default_wait{30000};
// The answer leaves before the route's timeout, so that it arrives in time.
constexpr milliseconds answer_margin{15};
// A host that has just started has its configuration within this time.
constexpr milliseconds start_pause{300};
// Pause of a refused caller, in parts of the route's target latency: slots become free that soon.
constexpr int pause_divisor = 2;
constexpr milliseconds shortest_pause{100};

/// Service whose share of the route lags most behind its weight.
std::string pick_service(gateway_state& state, const traffic::route& route) {
    if (route.parts.size() == 1) {
        return route.parts.front().service;
    }
    const double sum = std::accumulate(route.parts.begin(), route.parts.end(), 0.0,
                                       [](double all, const auto& it) { return all + it.weight; });
    const std::lock_guard guard(state.routing.mutex);
    auto& credits = state.routing.credits[route.name];
    credits.resize(route.parts.size(), 0.0);
    for (std::size_t n = 0; n < credits.size(); ++n) {
        credits[n] += route.parts[n].weight;
    }
    const auto most = std::max_element(credits.begin(), credits.end());
    *most -= sum;
    return route.parts[static_cast<std::size_t>(most - credits.begin())].service;
}

common::time_point answer_due(const gateway_state& state, const call& it, const traffic::route& route) {
    const auto wait = stated_wait(it.request, state.options.headers.deadline).value_or(default_wait);
    const auto longest = route.timeout.count() > 0 ? std::min(wait, route.timeout) : wait;
    return it.arrived_at + std::max(longest - answer_margin, milliseconds{1});
}

std::optional<refusal> check_key(const traffic::configuration& config, const call& it,
                                 admitted_call& admitted) {
    if (config.teams.empty()) {
        return std::nullopt;
    }
    const auto key = bearer_key(it.request);
    admitted.team = key.empty() ? nullptr : traffic::find_team(config, key);
    if (admitted.team == nullptr && !admitted.route->open) {
        return refusal{.status = 401, .reason = "unknown_key"};
    }
    return std::nullopt;
}

traffic::retry_limit retry_limit_of(gateway_state& state) {
    auto limit = state.options.retries;
    limit.hosts = traffic::sharing_hosts(*current_fleet(state));
    return limit;
}

} // namespace

std::variant<refusal, admitted_call> admit_call(gateway_state& state, const call& it) {
    admitted_call admitted;
    admitted.config = current_configuration(state);
    if (!admitted.config) {
        return refusal{.status = 503, .reason = "no_configuration", .retry_after = start_pause};
    }
    const auto host = to_view(it.request[http::field::host]);
    admitted.route = traffic::find_route(*admitted.config, host, path_of(it.request));
    if (admitted.route == nullptr) {
        return refusal{.status = 404, .reason = "no_route"};
    }
    if (const auto why = check_key(*admitted.config, it, admitted)) {
        return *why;
    }
    const auto& route = *admitted.route;
    if (admitted.team != nullptr) {
        auto regions = traffic::common_regions(route.regions, admitted.team->regions);
        if (!regions) {
            return refusal{.status = 503, .reason = "no_region"};
        }
        admitted.regions = std::move(*regions);
    } else {
        admitted.regions = route.regions;
    }
    admitted.service = pick_service(state, route);
    if (route.has_affinity) {
        admitted.object = cookie_value(it.request, state.options.headers.affinity_cookie);
    }
    admitted.answer_due = answer_due(state, it, route);
    const std::lock_guard guard(state.retries.mutex);
    traffic::note_request(state.retries.services[admitted.service], monotonic::now());
    return admitted;
}

std::optional<placed_call> place_call(gateway_state& state, const admitted_call& it,
                                      std::span<const std::string> tried) {
    const auto fleet = current_fleet(state);
    const auto* service = traffic::find_service(*it.config, it.service);
    const double cold_rate = service == nullptr ? 0 : service->cold_rate;
    const traffic::placement_request wanted{
        .service = it.service,
        .object = it.object,
        .region = state.options.region,
        .regions = it.regions,
        .tried = tried,
        .knowledge = fleet_knowledge_of(state, *fleet),
        .target_latency = it.route->target_latency,
        .cold_limit = cold_rate * state.options.cold_overage + state.options.cold_slack,
    };
    placement_basis basis;
    basis.hosts = fleet->names.size();
    basis.hosts_confirmed_at = confirmed_at(state);
    const auto now = monotonic::now();
    const std::lock_guard guard(state.endpoints.mutex);
    auto endpoint = traffic::place_request(state.endpoints.set, wanted, now);
    if (!endpoint) {
        return std::nullopt;
    }
    basis.placed_at = common::boot_clock::now();
    basis.is_cold = traffic::is_cold(*endpoint, now);
    basis.cold = endpoint->cold;
    basis.cold_room = basis.is_cold ? traffic::cold_room(*endpoint, wanted, now) : 0;
    auto entry = endpoint->entry;
    return placed_call{std::move(endpoint), std::move(entry), basis};
}

bool take_repeat(gateway_state& state, std::string_view service) {
    const auto limit = retry_limit_of(state);
    const std::lock_guard guard(state.retries.mutex);
    return traffic::take_repeat(state.retries.services[std::string(service)], limit, monotonic::now());
}

bool has_repeat_room(gateway_state& state, std::string_view service) {
    const auto limit = retry_limit_of(state);
    const std::lock_guard guard(state.retries.mutex);
    return traffic::has_repeat_room(state.retries.services[std::string(service)], limit, monotonic::now());
}

common::milliseconds retry_pause(const admitted_call& it) {
    return std::max(shortest_pause, it.route->target_latency / pause_divisor);
}

} // namespace lycheegap::gateway
