#include "region_load.h"

#include <algorithm>

namespace lycheegap::traffic {

namespace {

// A report tells the load of its endpoint for this long.
constexpr common::milliseconds report_lifetime{2000};
// Load of a region of which nothing is reported: low enough to be tried, and a report follows the first
// request.
constexpr double assumed_load = 0.6;
// A long queue at a few endpoints must not count as load of all others.
constexpr double max_counted_load = 2;
// A region is unreachable when this part of the endpoints that were used lately, and at least the minimum,
// have failed.
constexpr double unreachable_fraction = 0.8;
constexpr std::size_t unreachable_min_endpoints = 3;
// Part of a region's slots that must be warm. Planned work takes one failure domain of a region at a time.
constexpr double available_fraction = 0.25;

/// Sums over the endpoints of one region.
struct region_sums {
    double slots{0};
    double load{0};
    std::size_t reports{0};
    std::size_t failing{0};
    common::time_point last_report_at;
};

std::span<const endpoint_ptr> endpoints_of(const endpoint_set& set, std::string_view service) {
    const auto found = set.by_service.find(service);
    return found == set.by_service.end() ? std::span<const endpoint_ptr>() : found->second;
}

/// Whether this host or another one has got a load report lately.
bool has_recent_report(const endpoint_state& it, common::time_point now) {
    return it.external && it.external->at + report_lifetime > now;
}

double reported_load(const endpoint_state& it) {
    const double requests = it.in_flight + it.external->requests;
    return std::min(max_counted_load, requests / std::max(1, it.entry.slots));
}

void add_endpoint(region_sums& sums, const endpoint_state& it, double cold_slots, common::time_point now) {
    const double slots = std::max(1, it.entry.slots);
    sums.slots += is_cold(it, now) ? std::min(slots, cold_slots) : slots;
    if (it.avoided_until > now) {
        ++sums.failing;
    } else if (has_recent_report(it, now) && !is_cold(it, now)) {
        sums.load += reported_load(it);
        ++sums.reports;
        sums.last_report_at = std::max(sums.last_report_at, it.external->at);
    }
}

bool is_unreachable(const region_sums& sums) {
    return sums.failing >= unreachable_min_endpoints &&
           static_cast<double>(sums.failing) >=
               unreachable_fraction * static_cast<double>(sums.failing + sums.reports);
}

steering::region_view to_region_view(const region_sums& sums, common::time_point now) {
    if (is_unreachable(sums)) {
        return {0, 0, now};
    }
    if (sums.reports == 0) {
        return {sums.slots, sums.slots * assumed_load, now};
    }
    return {sums.slots, sums.slots * sums.load / static_cast<double>(sums.reports), sums.last_report_at};
}

} // namespace

std::vector<std::string> regions_of_service(const endpoint_set& set, std::string_view service) {
    std::vector<std::string> regions;
    for (const auto& it : endpoints_of(set, service)) {
        const auto at = std::lower_bound(regions.begin(), regions.end(), it->entry.region);
        if (at == regions.end() || *at != it->entry.region) {
            regions.insert(at, it->entry.region);
        }
    }
    return regions;
}

region_load measure_regions(const endpoint_set& set, std::string_view service,
                            std::span<const std::string> regions, double cold_slots, common::time_point now) {
    std::vector<region_sums> sums(regions.size());
    region_load load;
    for (const auto& it : endpoints_of(set, service)) {
        load.own_requests += it->in_flight;
        const auto at = std::lower_bound(regions.begin(), regions.end(), it->entry.region);
        if (at == regions.end() || *at != it->entry.region || !accepts_work(set, *it) ||
            is_resting(*it, now)) {
            continue;
        }
        add_endpoint(sums[static_cast<std::size_t>(at - regions.begin())], *it, cold_slots, now);
    }
    for (const auto& it : sums) {
        load.views.push_back(to_region_view(it, now));
        load.reports.push_back(it.reports);
    }
    return load;
}

bool is_region_available(const endpoint_set& set, std::string_view service, std::string_view region,
                         common::time_point now) {
    double slots = 0;
    double warm_slots = 0;
    for (const auto& it : endpoints_of(set, service)) {
        if (it->entry.region != region) {
            continue;
        }
        slots += it->entry.slots;
        if (accepts_work(set, *it) && !is_resting(*it, now) && !is_cold(*it, now)) {
            warm_slots += it->entry.slots;
        }
    }
    return warm_slots > 0 && warm_slots >= slots * available_fraction;
}

} // namespace lycheegap::traffic
