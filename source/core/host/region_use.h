#pragma once

#include <span>
#include <string_view>

#include "endpoint_table.h"

namespace lycheegap::host {

struct host_state;

/// What this host knows of each region's endpoints, in the order of `use.regions`.
std::vector<steering::region_view> view_regions(const region_use& use,
                                                std::span<const steering::endpoint_state> endpoints);

/// Takes over the regions of changed endpoints; shares of regions that stay are kept.
void update_regions(region_use& use, std::span<const steering::endpoint_state> endpoints,
                    std::string_view own_region);

/// Region for one request, drawn by the shares.
std::string_view draw_region(const region_use& use, steering::random_engine& random);

/// Decides on the shares of each service once.
void move_regions(host_state& host);

} // namespace lycheegap::host
