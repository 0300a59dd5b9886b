#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/steering/region_split.h"
#include "region_load.h"

namespace lycheegap::traffic {

/// Largest changes of the regions in which this host's requests run. Together they stay below the fleet's
/// bound: if every host keeps them, so do all hosts of a region.
struct region_limits {
    /// Fraction of the requests that one decision moves.
    double shift_cap{0};
    /// Fraction of the requests that may run outside of the region that the split selected.
    double fallback_ratio{0};
};

/// How often the splits are decided.
inline constexpr common::milliseconds region_interval{1000};

/// Limits for a fleet in which at most `max_shift` of a region's requests may change their region from one
/// window of two seconds to the next; 0 divides no service.
region_limits limits_for(double max_shift);

/// How the requests of this host for one service are divided over the regions.
struct region_routing {
    /// Regions that have had endpoints, sorted. Empty while the service is not divided.
    std::vector<std::string> regions;
    steering::region_split split;
    /// What the last decision was based on, smoothed.
    std::vector<steering::region_view> views;
    /// Slots in use by this host's requests, smoothed.
    double demand_slots{0};
    /// A request has been routed: from now on shares only move within the limits.
    bool in_use{false};
    /// Position in the sequence that divides requests without an object.
    double sequence{0};
};

/// Inputs of a decision that are the same for all services.
struct region_position {
    /// Name and region of this host.
    std::string_view host;
    std::string_view region;
    /// Regions of all hosts of the fleet, one entry a host.
    std::span<const std::string> host_regions;
};

/// Outcome of one decision.
struct region_shift {
    /// Fraction of the requests that moved within the limits.
    double moved{0};
    /// Fraction of the requests that left regions that can't serve them any more.
    double left{0};
};

/// Whether a service with so many endpoints in so many regions is divided. `divided`: whether it is now.
bool should_divide(std::size_t endpoints, std::size_t regions, bool divided);

/// Adds regions that are new. They get no share before a decision moves requests there.
void add_regions(region_routing& routing, std::span<const std::string> regions);

/// Decides the split anew with what was measured for `routing.regions`: the initial one until a request has
/// been routed, else the former one with the changes that the limits allow.
region_shift update_routing(region_routing& routing, const region_load& load, const region_position& position,
                            const region_limits& limits, common::time_point now);

/// Region for a request, among those that may serve it (empty allows all); empty if the service is not
/// divided or none of them can be used. Requests for one object go to the same region as long as the shares
/// stay, and a change of shares by some fraction moves about that fraction of the objects.
std::string_view choose_region(region_routing& routing, const region_position& position,
                               std::string_view object_key, std::span<const std::string> allowed);

/// Requests that this host may still send to another region than the selected one, over all services.
struct fallback_budget {
    double tokens{0};
};

/// Counts a routed request.
void note_routed(fallback_budget& budget, const region_limits& limits);

/// Takes one request from the budget; false if it is used up.
bool take_fallback(fallback_budget& budget);

} // namespace lycheegap::traffic
