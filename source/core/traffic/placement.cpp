#include "placement.h"

#include <algorithm>
#include <utility>

#include "placement_by_load.h"
#include "placement_by_work.h"

namespace lycheegap::traffic {

namespace {

// An endpoint that has answered nothing for this multiple of the target latency may be unreachable. On a
// kept-alive connection, missing answers are the only sign of that. Serving an object that is not cached
// takes up to twice the target latency.
constexpr int silence_factor = 3;
constexpr common::milliseconds min_silence{800};

// Endpoints of a service that each region needs, so that copies of objects there leave the load spread.
constexpr std::size_t min_region_endpoints = 6;

bool contains(std::span<const std::string> all, std::string_view it) {
    return std::find(all.begin(), all.end(), it) != all.end();
}

} // namespace

bool may_serve(const endpoint_set& set, const endpoint_state& it, const placement_request& request) {
    return accepts_work(set, it) && (request.regions.empty() || contains(request.regions, it.entry.region)) &&
           !contains(request.tried, it.entry.id);
}

bool is_avoided(const endpoint_state& it, const placement_request& request, common::time_point now) {
    const auto silence = std::max(min_silence, request.target_latency * silence_factor);
    return it.avoided_until > now || (it.silent_since && now - *it.silent_since > silence);
}

placement_rule rule_for(const endpoint_set& set, std::string_view service) {
    const auto groups = set.groups.find(service);
    if (groups == set.groups.end()) {
        return placement_rule::by_load;
    }
    const auto is_small = [](const endpoint_group& it) {
        return !it.endpoints.empty() && it.endpoints.size() < min_region_endpoints;
    };
    return std::any_of(groups->second.begin(), groups->second.end(), is_small) ? placement_rule::by_load
                                                                               : placement_rule::by_work;
}

double cold_room(endpoint_state& endpoint, const placement_request& request, common::time_point now) {
    if (now < endpoint.cold.usable_from ||
        !has_cold_share(request.knowledge, endpoint.entry.id, request.cold_limit, now)) {
        return 0;
    }
    return cold_share(request.cold_limit) -
           static_cast<double>(count_events(endpoint.cold_requests, now, cold_window));
}

bool has_fleet_room(endpoint_state& endpoint, const placement_request& request, common::time_point now) {
    return (!is_cold(endpoint, now) || cold_room(endpoint, request, now) >= 1) &&
           has_limit_room(endpoint.limit, request.knowledge, endpoint.entry.id, now);
}

void count_placement(endpoint_state& endpoint, const placement_request& request, common::time_point now) {
    if (is_cold(endpoint, now)) {
        endpoint.cold_requests.event_times.push_back(now);
    }
    count_limited_request(endpoint.limit, request.knowledge, endpoint.entry.id, now);
}

std::optional<common::time_point> first_rest_end(const endpoint_set& set, const placement_request& request,
                                                 common::time_point now) {
    std::optional<common::time_point> first;
    const auto all = set.by_service.find(request.service);
    if (all == set.by_service.end()) {
        return first;
    }
    for (const auto& it : all->second) {
        if (may_serve(set, *it, request) && is_resting(*it, now) &&
            (!first || it->wishes.resting_until < *first)) {
            first = it->wishes.resting_until;
        }
    }
    return first;
}

std::optional<double> limited_supply(const endpoint_set& set, const placement_request& request,
                                     common::time_point now) {
    std::optional<double> supply;
    const auto all = set.by_service.find(request.service);
    if (all == set.by_service.end()) {
        return supply;
    }
    for (const auto& it : all->second) {
        if (!may_serve(set, *it, request) || is_resting(*it, now)) {
            continue;
        }
        if (!it->limit.per_second) {
            return std::nullopt;
        }
        supply = supply.value_or(0) + *it->limit.per_second;
    }
    return supply;
}

placement place_request(endpoint_set& set, work_costs& costs, const placement_request& request,
                        common::time_point now) {
    const auto rule =
        request.rule == placement_rule::automatic ? rule_for(set, request.service) : request.rule;
    if (rule == placement_rule::by_work) {
        return place_by_work(set, costs, request, now);
    }
    return {.endpoint = place_by_load(set, request, now),
            .expected_start = now,
            .expected_end = now,
            .rule = placement_rule::by_load,
            .work = {}};
}

std::string_view rule_name(placement_rule rule) {
    switch (rule) {
    case placement_rule::automatic:
        return "auto";
    case placement_rule::by_load:
        return "load";
    case placement_rule::by_work:
        return "work";
    }
    return "unknown";
}

std::optional<placement_rule> parse_rule(std::string_view name) {
    for (const auto it : {placement_rule::automatic, placement_rule::by_load, placement_rule::by_work}) {
        if (rule_name(it) == name) {
            return it;
        }
    }
    return std::nullopt;
}

} // namespace lycheegap::traffic
