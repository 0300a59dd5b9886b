#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/steering/region_split.h"
#include "endpoint_set.h"

namespace lycheegap::traffic {

/// What this host knows of a service's endpoints, by region.
struct region_load {
    /// In the order of the regions that were asked for.
    std::vector<steering::region_view> views;
    /// Endpoints with a recent load report, by region. Without any, the region's load is assumed.
    std::vector<std::size_t> reports;
    /// Requests of this host that are not answered yet, over all regions.
    double own_requests{0};
};

/// Regions of the service's endpoints, sorted.
std::vector<std::string> regions_of_service(const endpoint_set& set, std::string_view service);

/// Measures the regions: slots of the endpoints that may be used, and the slots in use, estimated from the
/// mean load of the endpoints with a recent report. A cold endpoint counts as `cold_slots`. A region of which
/// almost no endpoint answers has no slots. `regions` are sorted.
region_load measure_regions(const endpoint_set& set, std::string_view service,
                            std::span<const std::string> regions, double cold_slots, common::time_point now);

/// Whether at least a quarter of the region's slots for the service may be used now and are warm.
bool is_region_available(const endpoint_set& set, std::string_view service, std::string_view region,
                         common::time_point now);

} // namespace lycheegap::traffic
