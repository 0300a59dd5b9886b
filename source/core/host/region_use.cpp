#include "region_use.h"

#include <algorithm>
#include <mutex>

#include "core/common/log.h"
#include "host_state.h"

namespace lycheegap::host {

namespace {

using common::monotonic;
using steering::endpoint_state;

constexpr double percent = 100;
constexpr double ms_per_s = 1000;

std::size_t index_of(const region_routing& routing, std::string_view region) {
    const auto it = std::lower_bound(routing.regions.begin(), routing.regions.end(), region);
    return static_cast<std::size_t>(it - routing.regions.begin());
}

std::vector<std::string> regions_of(std::span<const endpoint_state> endpoints, std::string_view own_region) {
    std::vector<std::string> regions = {std::string(own_region)};
    for (const auto& it : endpoints) {
        regions.push_back(it.region);
    }
    std::sort(regions.begin(), regions.end());
    regions.erase(std::unique(regions.begin(), regions.end()), regions.end());
    return regions;
}

/// Keeps the shares of regions that stay; the shares of regions that are gone are divided like a first split.
void keep_shares(region_routing& target, const region_routing& before) {
    double kept = 0;
    std::vector<double> shares(target.regions.size());
    for (std::size_t n = 0; n < before.regions.size(); ++n) {
        const auto to = index_of(target, before.regions[n]);
        if (to < target.regions.size() && target.regions[to] == before.regions[n]) {
            shares[to] = before.split.shares[n];
            kept += shares[to];
            target.split.moved_at[to] = before.split.moved_at[n];
        }
    }
    for (std::size_t n = 0; n < shares.size(); ++n) {
        target.split.shares[n] = shares[n] + std::max(0.0, 1 - kept) * target.split.shares[n];
    }
}

void shift_service_shares(host_state& host, std::string_view service, region_routing& routing,
                          std::size_t members, common::time_point now) {
    const auto& settings = *host.settings.steering;
    const auto views = measure_regions(routing, host.endpoints.services.find(service)->second);
    const double seconds = std::max(common::seconds_between(routing.last_shift_at, now), 1 / ms_per_s);
    const double demand = routing.used_slot_ms / ms_per_s / seconds;
    routing.used_slot_ms = 0;
    routing.last_shift_at = now;
    const steering::split_position position{index_of(routing, host.self.region),
                                            std::max<std::size_t>(1, members), demand};
    steering::split_limits limits;
    limits.shift_cap = settings.shift_cap / percent;
    const double moved = steering::rebalance_split(routing.split, views, position, limits, now);
    if (moved > 0) {
        common::log_info("region_shares_moved",
                         {common::field("service", service), common::field("percent", moved * percent)});
    }
}

} // namespace

std::vector<steering::region_view> measure_regions(const region_routing& routing,
                                                   std::span<const endpoint_state> endpoints) {
    std::vector<steering::region_view> views(routing.regions.size());
    for (const auto& it : endpoints) {
        auto& view = views[index_of(routing, it.region)];
        view.measured_at = std::max(view.measured_at, it.observed_at);
        if (!it.draining && !it.failing) {
            view.slots += it.slots;
            view.used_slots += std::max<double>(it.in_flight, it.reported_load * it.slots);
        }
    }
    return views;
}

void update_regions(region_routing& routing, std::span<const endpoint_state> endpoints,
                    std::string_view own_region) {
    region_routing next;
    next.regions = regions_of(endpoints, own_region);
    if (next.regions == routing.regions) {
        return;
    }
    next.used_slot_ms = routing.used_slot_ms;
    next.last_shift_at = routing.last_shift_at;
    next.split = steering::make_split(measure_regions(next, endpoints), index_of(next, own_region));
    if (!routing.regions.empty()) {
        keep_shares(next, routing);
    }
    routing = std::move(next);
}

std::string_view pick_region(const region_routing& routing, steering::random_engine& random) {
    double left = std::uniform_real_distribution<double>(0, 1)(random);
    for (std::size_t n = 0; n < routing.regions.size(); ++n) {
        left -= routing.split.shares[n];
        if (left < 0) {
            return routing.regions[n];
        }
    }
    const auto most = std::max_element(routing.split.shares.begin(), routing.split.shares.end());
    return routing.regions[static_cast<std::size_t>(most - routing.split.shares.begin())];
}

void shift_region_shares(host_state& host) {
    const auto now = monotonic::now();
    // Read before the endpoint table is locked: the membership table's lock ranks lower.
    const auto members = current_generation(host);
    const std::lock_guard guard(host.endpoints.mutex);
    for (auto& [service, routing] : host.endpoints.regions) {
        shift_service_shares(host, service, routing, members->members.size(), now);
    }
}

} // namespace lycheegap::host
