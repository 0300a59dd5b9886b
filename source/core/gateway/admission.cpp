#include "admission.h"

#include <algorithm>
#include <mutex>
#include <numeric>

#include "core/common/digest.h"
#include "core/traffic/placement.h"
#include "message_headers.h"
#include "region_table.h"

namespace lycheegap::gateway {

namespace {

using common::milliseconds;
using common::monotonic;

// Timeout of a caller that sends no valid deadline header.
constexpr milliseconds default_timeout{30000};
// The response is due this long before the timeout, so that it arrives in time.
constexpr milliseconds response_margin{15};
// Retry-After while this host has no configuration. A host that has just started gets one within this time.
constexpr milliseconds startup_retry_after{300};
// Retry-After of a refused caller is the route's target latency divided by this: slots become free that soon.
constexpr int retry_after_divisor = 2;
constexpr milliseconds min_retry_after{100};

/// Picks a service of the route by smooth weighted round robin.
std::string pick_service(gateway_state& state, const traffic::route& route) {
    if (route.parts.size() == 1) {
        return route.parts.front().service;
    }
    const double total_weight = std::accumulate(route.parts.begin(), route.parts.end(), 0.0,
                                                [](double all, const auto& it) { return all + it.weight; });
    const std::lock_guard guard(state.routing.mutex);
    auto& current_weights = state.routing.current_weights[route.name];
    current_weights.resize(route.parts.size(), 0.0);
    for (std::size_t n = 0; n < current_weights.size(); ++n) {
        current_weights[n] += route.parts[n].weight;
    }
    const auto selected = std::max_element(current_weights.begin(), current_weights.end());
    *selected -= total_weight;
    return route.parts[static_cast<std::size_t>(selected - current_weights.begin())].service;
}

/// The caller's timeout, limited by the route's, minus the margin, counted from the arrival of the request.
common::time_point response_deadline_for(const gateway_state& state, const call& it,
                                         const traffic::route& route) {
    const auto wait = parse_timeout(it.request, state.options.headers.deadline).value_or(default_timeout);
    const auto longest = route.timeout.count() > 0 ? std::min(wait, route.timeout) : wait;
    return it.arrived_at + std::max(longest - response_margin, milliseconds{1});
}

/// Sets the team of the caller's key; refuses unknown keys unless the route is open or no teams are
/// configured.
std::optional<refusal> authenticate(const traffic::configuration& config, const call& it,
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

/// The fleet's retry limit with the number of hosts that share it now.
traffic::retry_limit fleet_retry_limit(gateway_state& state) {
    auto limit = state.options.retries;
    limit.hosts = traffic::sharing_hosts(*current_fleet(state));
    return limit;
}

/// Requests per second for the service at all hosts, as if each got as many as this one.
double fleet_request_rate(gateway_state& state, std::string_view service) {
    const auto limit = fleet_retry_limit(state);
    const std::lock_guard guard(state.retries.mutex);
    auto& share = state.retries.services[std::string(service)];
    return traffic::request_rate(share, limit, monotonic::now()) * static_cast<double>(limit.hosts);
}

/// Picks an endpoint among those of `wanted.regions`; empty when none has room.
std::optional<placed_call> place_at_endpoint(gateway_state& state, const traffic::placement_request& wanted,
                                             placement_basis basis) {
    const auto now = monotonic::now();
    const std::lock_guard guard(state.endpoints.mutex);
    basis.expected = traffic::place_request(state.endpoints.set, state.endpoints.costs, wanted, now);
    auto endpoint = basis.expected.endpoint;
    if (!endpoint) {
        return std::nullopt;
    }
    basis.placed_at = common::boot_clock::now();
    basis.is_cold = traffic::is_cold(*endpoint, now);
    basis.cold = endpoint->cold;
    basis.cold_room = basis.is_cold ? traffic::cold_room(*endpoint, wanted, now) : 0;
    basis.limit = endpoint->limit.per_second;
    auto entry = endpoint->entry;
    return placed_call{std::move(endpoint), std::move(entry), basis};
}

} // namespace

std::variant<refusal, admitted_call> admit_call(gateway_state& state, const call& incoming) {
    admitted_call admitted;
    admitted.config = current_configuration(state);
    if (!admitted.config) {
        return refusal{.status = 503, .reason = "no_configuration", .retry_after = startup_retry_after};
    }
    const auto host = to_view(incoming.request[http::field::host]);
    admitted.route = traffic::find_route(*admitted.config, host, request_path(incoming.request));
    if (admitted.route == nullptr) {
        return refusal{.status = 404, .reason = "no_route"};
    }
    if (const auto why = authenticate(*admitted.config, incoming, admitted)) {
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
        admitted.affinity_key = cookie_value(incoming.request, state.options.headers.affinity_cookie);
    }
    admitted.response_deadline = response_deadline_for(state, incoming, route);
    const std::lock_guard guard(state.retries.mutex);
    traffic::note_request(state.retries.services[admitted.service], monotonic::now());
    return admitted;
}

std::optional<placed_call> place_call(gateway_state& state, const call& incoming,
                                      const admitted_call& admitted, std::span<const std::string> tried,
                                      slot_wait wait) {
    const auto fleet = current_fleet(state);
    const auto* service = traffic::find_service(*admitted.config, admitted.service);
    const double cold_rate = service == nullptr ? 0 : service->cold_rate;
    const auto target = select_region(state, admitted.service, admitted.affinity_key, admitted.regions);
    traffic::placement_request wanted{
        .service = admitted.service,
        .object_key = admitted.affinity_key,
        .region = state.options.region,
        .target_region = target,
        .regions = admitted.regions,
        .tried = tried,
        .knowledge = membership_knowledge_of(state, *fleet),
        .target_latency = admitted.route->target_latency,
        .needs_free_slot = wait == slot_wait::excluded,
        .cold_limit = cold_rate * state.options.cold_overage + state.options.cold_slack,
        .route = admitted.route->name,
        .body_bytes = body_size(incoming),
        .response_deadline = admitted.response_deadline,
        .rule = state.options.placement,
    };
    placement_basis basis;
    basis.hosts = fleet->names.size();
    basis.hosts_confirmed_at = mirror_confirmed_at(state);
    if (!target.empty()) {
        wanted.regions = std::span(&target, 1);
        if (auto placed = place_at_endpoint(state, wanted, basis)) {
            return placed;
        }
        if (!may_leave_region(state, admitted.service, target)) {
            return std::nullopt;
        }
        wanted.regions = admitted.regions;
    }
    return place_at_endpoint(state, wanted, basis);
}

bool take_retry(gateway_state& state, std::string_view service) {
    const auto limit = fleet_retry_limit(state);
    const std::lock_guard guard(state.retries.mutex);
    return traffic::take_retry(state.retries.services[std::string(service)], limit, monotonic::now());
}

double retries_left(gateway_state& state, std::string_view service) {
    const auto limit = fleet_retry_limit(state);
    const std::lock_guard guard(state.retries.mutex);
    return traffic::retries_left(state.retries.services[std::string(service)], limit, monotonic::now());
}

bool has_retry_headroom(gateway_state& state, std::string_view service) {
    const auto limit = fleet_retry_limit(state);
    const std::lock_guard guard(state.retries.mutex);
    return traffic::has_spare_retry_budget(state.retries.services[std::string(service)], limit,
                                           monotonic::now());
}

common::milliseconds suggested_retry_after(gateway_state& state, const admitted_call& admitted,
                                           std::string_view request_id) {
    const auto room_expected =
        std::max(min_retry_after, admitted.route->target_latency / retry_after_divisor);
    traffic::placement_request wanted;
    wanted.service = admitted.service;
    wanted.regions = admitted.regions;
    const auto now = monotonic::now();
    std::optional<common::time_point> rest_end;
    std::optional<double> supply;
    {
        const std::lock_guard guard(state.endpoints.mutex);
        rest_end = traffic::first_rest_end(state.endpoints.set, wanted, now);
        supply = traffic::limited_supply(state.endpoints.set, wanted, now);
    }
    // Requests that are refused together don't come back together.
    const auto spread = common::stable_hash(request_id) % static_cast<std::uint64_t>(room_expected.count());
    const auto later = milliseconds{static_cast<std::int64_t>(spread)};
    if (supply) {
        return traffic::pause_for_competition(fleet_request_rate(state, admitted.service) / *supply) + later;
    }
    if (!rest_end) {
        return room_expected / 2 + later;
    }
    return std::chrono::ceil<milliseconds>(*rest_end - now) + later;
}

} // namespace lycheegap::gateway
