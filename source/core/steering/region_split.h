#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "core/common/clock.h"

namespace lycheegap::steering {

/// One region's endpoints of a service, as measured some time ago.
struct region_view {
    /// Slots of the endpoints that may be used; 0 when the region has failed.
    double slots{0};
    /// Slots in use by all hosts.
    double used{0};
    common::time_point measured_at;
};

/// Shares of this host's requests that go to each region; their sum is 1.
struct region_split {
    std::vector<double> shares;
    /// When this host last moved requests to the region.
    std::vector<common::time_point> moved_at;
};

struct split_limits {
    /// Largest part of a host's requests that one decision moves, 0 to 1.
    double shift_cap{0.1};
    /// Part of a region's slots up to which requests are moved there, 0 to 1.
    double full_load{0.8};
    /// Measurements older than this count as stopped.
    common::milliseconds measurement_lifetime{3000};
};

/// This host's part in the fleet's decision.
struct split_position {
    /// Index of the host's own region.
    std::size_t own_region{0};
    /// Hosts among which each region's headroom is divided.
    std::size_t hosts{1};
    /// Slots that this host's requests use now, in all regions.
    double demand_slots{0};
};

/// A first split: all to the own region, or by slots when that has none.
region_split make_split(std::span<const region_view> views, std::size_t own_region);

/// Decides once for an interval: moves requests out of a region that is too full or has failed, and home
/// again when there is headroom. Each host takes no more than its part of a region's headroom, each
/// measurement is spent once, no more than the cap moves, and nothing moves on measurements that have
/// stopped. Returns the part of the requests that moved.
double move_split(region_split& split, std::span<const region_view> views, const split_position& position,
                  const split_limits& limits, common::time_point now);

} // namespace lycheegap::steering
