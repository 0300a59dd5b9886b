#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "core/common/clock.h"

namespace lycheegap::steering {

/// Capacity and use of a service's endpoints in one region, as last measured.
struct region_view {
    /// Total slots of the available endpoints; 0 if the region has failed.
    double slots{0};
    /// Slots in use by requests of all hosts.
    double used_slots{0};
    common::time_point measured_at;
};

/// Distribution of this host's requests for one service over the regions. The shares sum up to 1.
struct region_split {
    std::vector<double> shares;
    /// When this host last moved requests to each region.
    std::vector<common::time_point> moved_at;
};

struct split_limits {
    /// Largest fraction of a host's requests that one decision moves, 0 to 1.
    double shift_cap{0.1};
    /// Load of a region, as a fraction of its slots, up to which requests move in and above which they move
    /// out.
    double max_load{0.8};
    /// Part of `shift_cap` that may move back to the own region, 0 to 1. Below 1 for demand that falls and
    /// rises again faster than the shares may move.
    double return_part{1};
    /// Part of a region's excess that one decision moves, 0 to 1. Below 1 where requests outlast the interval
    /// between decisions, so that a measurement still counts some that have been moved before.
    double correction{1};
    /// Measurements this old or older are ignored.
    common::milliseconds measurement_lifetime{3000};
};

/// Inputs of the decision that are specific to this host.
struct split_position {
    /// Index of the host's own region.
    std::size_t own_region{0};
    /// Number of hosts among which each region's headroom is divided.
    std::size_t hosts{1};
    /// Slots in use by this host's requests, over all regions.
    double demand_slots{0};
};

/// Initial split: everything to the own region or, if that has no slots, to all regions in proportion to
/// their slots.
region_split make_split(std::span<const region_view> views, std::size_t own_region);

/// Initial split before any load is measured, for a service that uses `expected_load` of all its slots.
/// `demand` is the expected share of all requests that arrive in each region. The own region keeps what fits
/// below `max_load`; the rest is divided among the others in proportion to what their own requests leave.
region_split make_expected_split(std::span<const region_view> views, std::span<const double> demand,
                                 std::size_t own_region, double expected_load, double max_load);

/// Moves the shares of regions without slots to the others at once, whatever the cap: by headroom or, without
/// any, by slots. Does nothing if no region has slots. Returns the fraction of the requests that moved.
double leave_failed_regions(region_split& split, std::span<const region_view> views,
                            const split_limits& limits, common::time_point now);

/// Makes one rebalancing decision: moves requests away from overloaded and failed regions, and back to the
/// own region when that has headroom. Uses at most this host's share of a region's headroom, moves at most
/// `shift_cap`, uses the headroom of a measurement only once and ignores measurements that are too old.
/// Returns the fraction of the requests that moved.
double rebalance_split(region_split& split, std::span<const region_view> views,
                       const split_position& position, const split_limits& limits, common::time_point now);

} // namespace lycheegap::steering
