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

std::size_t index_of(const region_use& use, std::string_view region) {
    const auto it = std::lower_bound(use.regions.begin(), use.regions.end(), region);
    return static_cast<std::size_t>(it - use.regions.begin());
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

/// Carries the shares over; what belonged to regions that are gone is divided as a first split.
void carry_shares(region_use& target, const region_use& before) {
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

void move_service(host_state& host, std::string_view service, region_use& use, std::size_t members,
                  common::time_point now) {
    const auto& settings = *host.settings.steering;
    const auto views = view_regions(use, host.endpoints.services.find(service)->second);
    const double seconds = std::max(common::seconds_between(use.decided_at, now), 1 / ms_per_s);
    const double demand = use.busy_ms / ms_per_s / seconds;
    use.busy_ms = 0;
    use.decided_at = now;
    const steering::split_position position{index_of(use, host.self.region),
                                            std::max<std::size_t>(1, members), demand};
    steering::split_limits limits;
    limits.shift_cap = settings.shift_cap / percent;
    const double moved = steering::move_split(use.split, views, position, limits, now);
    if (moved > 0) {
        common::log_info("region_shares_moved",
                         {common::field("service", service), common::field("percent", moved * percent)});
    }
}

} // namespace

std::vector<steering::region_view> view_regions(const region_use& use,
                                                std::span<const endpoint_state> endpoints) {
    std::vector<steering::region_view> views(use.regions.size());
    for (const auto& it : endpoints) {
        auto& view = views[index_of(use, it.region)];
        view.measured_at = std::max(view.measured_at, it.observed_at);
        if (!it.leaving && !it.failing) {
            view.slots += it.slots;
            view.used += std::max<double>(it.in_flight, it.reported_load * it.slots);
        }
    }
    return views;
}

void update_regions(region_use& use, std::span<const endpoint_state> endpoints, std::string_view own_region) {
    region_use next;
    next.regions = regions_of(endpoints, own_region);
    if (next.regions == use.regions) {
        return;
    }
    next.busy_ms = use.busy_ms;
    next.decided_at = use.decided_at;
    next.split = steering::make_split(view_regions(next, endpoints), index_of(next, own_region));
    if (!use.regions.empty()) {
        carry_shares(next, use);
    }
    use = std::move(next);
}

std::string_view draw_region(const region_use& use, steering::random_engine& random) {
    double left = std::uniform_real_distribution<double>(0, 1)(random);
    for (std::size_t n = 0; n < use.regions.size(); ++n) {
        left -= use.split.shares[n];
        if (left < 0) {
            return use.regions[n];
        }
    }
    const auto most = std::max_element(use.split.shares.begin(), use.split.shares.end());
    return use.regions[static_cast<std::size_t>(most - use.split.shares.begin())];
}

void move_regions(host_state& host) {
    const auto now = monotonic::now();
    // The generation's lock ranks below that of the endpoints.
    const auto members = current_generation(host);
    const std::lock_guard guard(host.endpoints.mutex);
    for (auto& [service, use] : host.endpoints.regions) {
        move_service(host, service, use, members->members.size(), now);
    }
}

} // namespace lycheegap::host
