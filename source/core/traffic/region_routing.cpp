#include "region_routing.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "core/common/digest.h"

namespace lycheegap::traffic {

namespace {

// Parts of the fleet's bound for moved shares, over two decisions, and for single requests. The rest covers
// objects that get more requests than others, and refused requests, which change the regions of those that
// run.
constexpr double shift_part = 0.55;
constexpr double fallback_part = 0.2;
constexpr double decisions_per_window = 2;
// Requests that may have accumulated in the budget. A host of many has less than one per window.
constexpr double max_fallback_tokens = 2;
// Mean number of endpoints a region from which a service is divided, and below which it no longer is. With
// few endpoints a region's load varies too much for shares.
constexpr std::size_t min_endpoints_per_region = 12;
constexpr std::size_t keep_endpoints_per_region = 8;
// Load above which requests leave a region. The endpoints of a region are loaded unevenly: with more, some of
// them queue.
constexpr double max_region_load = 0.75;
// Load of all regions together that the initial split assumes.
constexpr double expected_load = 0.55;
// Requests may last longer than the interval between decisions.
constexpr double excess_correction = 0.7;
// Demand that falls in a wave soon rises again: returning requests fast would overload the region then.
constexpr double return_part = 0.3;
// Weight of the newest measurement.
constexpr double smoothing = 0.5;
// A region that this host uses must report its load. Below this share it may have got no request.
constexpr double reporting_share = 0.03;
// Spread of an object's weight between hosts, so that they move it one after another. Otherwise an object
// with a large part of the requests would move at once.
constexpr double weight_spread = 0.1;
// Fractional part of the golden ratio: its multiples divide any number of requests evenly.
constexpr double sequence_step = 0.6180339887498949;

/// Maps a hash to the open interval from 0 to 1.
double unit_value(std::uint64_t hash) {
    constexpr int kept_bits = 53;
    constexpr int dropped_bits = 64 - kept_bits;
    return (static_cast<double>(hash >> dropped_bits) + 0.5) / static_cast<double>(1ULL << kept_bits);
}

std::size_t index_of(const region_routing& routing, std::string_view region) {
    const auto at = std::lower_bound(routing.regions.begin(), routing.regions.end(), region);
    return static_cast<std::size_t>(at - routing.regions.begin());
}

/// Fraction of the fleet's hosts in each region: callers are assumed to use the hosts alike.
std::vector<double> expected_demand(const region_routing& routing, const region_position& position) {
    std::vector<double> demand(routing.regions.size());
    for (const auto& it : position.host_regions) {
        const auto n = index_of(routing, it);
        if (n < demand.size() && routing.regions[n] == it) {
            demand[n] += 1.0 / static_cast<double>(position.host_regions.size());
        }
    }
    return demand;
}

/// Takes over a measurement. The load is smoothed, the slots are not: lost ones can't be used.
void smooth_views(region_routing& routing, const region_load& load) {
    if (routing.views.size() != load.views.size()) {
        routing.views = load.views;
        routing.demand_slots = load.own_requests;
        return;
    }
    for (std::size_t n = 0; n < load.views.size(); ++n) {
        const auto& next = load.views[n];
        auto& known = routing.views[n];
        const double before = known.slots > 0 ? known.used_slots / known.slots : 0;
        const double measured = next.slots > 0 ? next.used_slots / next.slots : 0;
        known = {next.slots, next.slots * (before + smoothing * (measured - before)), next.measured_at};
        if (load.reports[n] == 0 && routing.split.shares[n] >= reporting_share) {
            known.measured_at = {};
        }
    }
    routing.demand_slots += smoothing * (load.own_requests - routing.demand_slots);
}

steering::split_limits to_split_limits(const region_limits& limits) {
    steering::split_limits made;
    made.shift_cap = limits.shift_cap;
    made.max_load = max_region_load;
    made.return_part = return_part;
    made.correction = excess_correction;
    return made;
}

/// Weight of each region for one request: its share if it may serve the request, else 0. Slots take the place
/// of shares where the own region is not allowed: the shares tell what is sent away from it.
std::vector<double> allowed_weights(const region_routing& routing, std::string_view own_region,
                                    std::span<const std::string> allowed) {
    const auto contains = [&](std::string_view region) {
        return allowed.empty() || std::find(allowed.begin(), allowed.end(), region) != allowed.end();
    };
    std::vector<double> shares(routing.regions.size());
    std::vector<double> slots(routing.regions.size());
    double sum = 0;
    for (std::size_t n = 0; n < shares.size(); ++n) {
        if (contains(routing.regions[n]) && routing.views[n].slots > 0) {
            shares[n] = routing.split.shares[n];
            slots[n] = routing.views[n].slots;
            sum += shares[n];
        }
    }
    return sum > 0 && contains(own_region) ? shares : slots;
}

/// Weighted rendezvous hashing: each region wins objects in proportion to its weight.
std::size_t region_of_object(const region_routing& routing, std::span<const double> weights,
                             std::string_view object_key, std::string_view host) {
    const auto object = common::stable_hash(object_key);
    std::size_t best = weights.size();
    double lowest = 0;
    for (std::size_t n = 0; n < weights.size(); ++n) {
        if (weights[n] <= 0) {
            continue;
        }
        const auto hash = common::stable_hash(routing.regions[n], object);
        const double spread = weight_spread * (unit_value(common::stable_hash(host, hash)) - 0.5);
        const double score = -std::log(unit_value(hash)) / (weights[n] * (1 + spread));
        if (best == weights.size() || score < lowest) {
            best = n;
            lowest = score;
        }
    }
    return best;
}

/// Next region of the sequence, or the number of regions if no weight is above 0.
std::size_t next_in_sequence(region_routing& routing, std::span<const double> weights) {
    routing.sequence = std::fmod(routing.sequence + sequence_step, 1.0);
    double left = routing.sequence * std::accumulate(weights.begin(), weights.end(), 0.0);
    std::size_t last = weights.size();
    for (std::size_t n = 0; n < weights.size(); ++n) {
        if (weights[n] <= 0) {
            continue;
        }
        last = n;
        left -= weights[n];
        if (left < 0) {
            break;
        }
    }
    return last;
}

} // namespace

region_limits limits_for(double max_shift) {
    return {max_shift * shift_part / decisions_per_window, max_shift * fallback_part};
}

bool should_divide(std::size_t endpoints, std::size_t regions, bool divided) {
    return regions >= 2 &&
           endpoints >= regions * (divided ? keep_endpoints_per_region : min_endpoints_per_region);
}

void add_regions(region_routing& routing, std::span<const std::string> regions) {
    for (const auto& it : regions) {
        const auto n = index_of(routing, it);
        if (n < routing.regions.size() && routing.regions[n] == it) {
            continue;
        }
        const auto at = static_cast<std::ptrdiff_t>(n);
        routing.regions.insert(routing.regions.begin() + at, it);
        if (!routing.split.shares.empty()) {
            routing.split.shares.insert(routing.split.shares.begin() + at, 0.0);
            routing.split.moved_at.insert(routing.split.moved_at.begin() + at, common::time_point{});
            routing.views.insert(routing.views.begin() + at, steering::region_view{});
        }
    }
}

region_shift update_routing(region_routing& routing, const region_load& load, const region_position& position,
                            const region_limits& limits, common::time_point now) {
    const auto own = index_of(routing, position.region);
    if (!routing.in_use) {
        routing.views = load.views;
        routing.demand_slots = load.own_requests;
        routing.split = steering::make_expected_split(load.views, expected_demand(routing, position), own,
                                                      expected_load, max_region_load);
        return {};
    }
    smooth_views(routing, load);
    const auto split_limits = to_split_limits(limits);
    region_shift shift;
    shift.left = steering::leave_failed_regions(routing.split, routing.views, split_limits, now);
    const steering::split_position split_position{own, std::max<std::size_t>(1, position.host_regions.size()),
                                                  routing.demand_slots};
    shift.moved = steering::rebalance_split(routing.split, routing.views, split_position, split_limits, now);
    return shift;
}

std::string_view choose_region(region_routing& routing, const region_position& position,
                               std::string_view object_key, std::span<const std::string> allowed) {
    if (routing.split.shares.empty()) {
        return {};
    }
    routing.in_use = true;
    const auto weights = allowed_weights(routing, position.region, allowed);
    const auto chosen = object_key.empty() ? next_in_sequence(routing, weights)
                                           : region_of_object(routing, weights, object_key, position.host);
    return chosen < weights.size() ? std::string_view(routing.regions[chosen]) : std::string_view();
}

void note_routed(fallback_budget& budget, const region_limits& limits) {
    budget.tokens = std::min(max_fallback_tokens, budget.tokens + limits.fallback_ratio);
}

bool take_fallback(fallback_budget& budget) {
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

} // namespace lycheegap::traffic
