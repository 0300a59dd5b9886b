#pragma once

#include <span>
#include <string_view>

#include "endpoint_table.h"

namespace lycheegap::host {

struct host_state;

/// Slots and load of each region's endpoints as this host knows them, in the order of `routing.regions`.
std::vector<steering::region_view> measure_regions(const region_routing& routing,
                                                   std::span<const steering::endpoint_state> endpoints);

/// Updates `routing` to the regions of changed endpoints; regions that stay keep their shares.
void update_regions(region_routing& routing, std::span<const steering::endpoint_state> endpoints,
                    std::string_view own_region);

/// Region for one request, picked at random with the shares as weights.
std::string_view pick_region(const region_routing& routing, steering::random_engine& random);

/// Periodic task: shifts shares of requests between the regions of each service by their load and headroom.
void shift_region_shares(host_state& host);

} // namespace lycheegap::host
