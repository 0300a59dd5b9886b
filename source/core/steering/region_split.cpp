#include "region_split.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace lycheegap::steering {

namespace {

// Requests move back to the own region only while its load is below this fraction of `max_load`, well below
// the load at which they move away, so that shares don't oscillate.
constexpr double return_load_fraction = 0.9;
/// Avoids a division by zero for a host without requests.
constexpr double min_demand_slots = 1e-6;

bool is_fresh(const region_view& it, const split_limits& limits, common::time_point now) {
    return it.measured_at + limits.measurement_lifetime > now;
}

/// Fraction of this host's requests that it may move to the region: its share of the region's headroom.
double acceptable_share(const region_split& split, std::size_t region, const region_view& view,
                        const split_position& position, const split_limits& limits, common::time_point now) {
    // A measurement taken before the last move doesn't show the moved requests: its headroom is already used.
    if (!is_fresh(view, limits, now) || view.measured_at <= split.moved_at[region]) {
        return 0;
    }
    const double headroom = std::max(0.0, view.slots * limits.max_load - view.used_slots);
    return headroom / static_cast<double>(position.hosts) / std::max(position.demand_slots, min_demand_slots);
}

/// Part of the share that should leave a region: all of it if the region has failed, else the part above
/// `max_load`.
double excess_share(double share, const region_view& view, const split_limits& limits) {
    if (share <= 0 || view.slots <= 0) {
        return share;
    }
    const double excess_slots = view.used_slots - view.slots * limits.max_load;
    return excess_slots <= 0 ? 0 : share * limits.correction * std::min(1.0, excess_slots / view.used_slots);
}

struct move_state {
    region_split& split;
    /// Part of the requests that this decision may still move.
    double remaining{0};
    common::time_point now;
};

/// Moves up to `wanted` of the share, within the remaining cap, and returns how much it moved.
double move_share(move_state& state, std::size_t from, std::size_t to, double wanted) {
    const double moved = std::clamp(wanted, 0.0, std::min(state.remaining, state.split.shares[from]));
    if (moved > 0) {
        state.split.shares[from] -= moved;
        state.split.shares[to] += moved;
        state.split.moved_at[to] = state.now;
        state.remaining -= moved;
    }
    return moved;
}

/// Divides `share` over the regions in proportion to the weights; false if no weight is above 0.
bool spread_share(std::vector<double>& shares, std::span<const double> weights, double share) {
    const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
    if (total <= 0) {
        return false;
    }
    for (std::size_t n = 0; n < shares.size(); ++n) {
        shares[n] += share * weights[n] / total;
    }
    return true;
}

std::vector<double> slots_of(std::span<const region_view> views) {
    std::vector<double> slots;
    std::transform(views.begin(), views.end(), std::back_inserter(slots),
                   [](const region_view& it) { return it.slots; });
    return slots;
}

} // namespace

region_split make_split(std::span<const region_view> views, std::size_t own_region) {
    region_split split;
    split.shares.resize(views.size());
    split.moved_at.resize(views.size());
    if (views[own_region].slots > 0) {
        split.shares[own_region] = 1;
        return split;
    }
    const double slots = std::accumulate(views.begin(), views.end(), 0.0,
                                         [](double sum, const region_view& it) { return sum + it.slots; });
    for (std::size_t n = 0; n < views.size(); ++n) {
        split.shares[n] = slots > 0 ? views[n].slots / slots : 1.0 / static_cast<double>(views.size());
    }
    return split;
}

region_split make_expected_split(std::span<const region_view> views, std::span<const double> demand,
                                 std::size_t own_region, double expected_load, double max_load) {
    const auto slots = slots_of(views);
    const double used = std::accumulate(slots.begin(), slots.end(), 0.0) * expected_load;
    if (used <= 0 || demand[own_region] <= 0) {
        return make_split(views, own_region);
    }
    std::vector<double> spare(views.size());
    for (std::size_t n = 0; n < views.size(); ++n) {
        spare[n] = n == own_region ? 0 : std::max(0.0, slots[n] * max_load - demand[n] * used);
    }
    region_split split;
    split.shares.resize(views.size());
    split.moved_at.resize(views.size());
    split.shares[own_region] = std::min(1.0, slots[own_region] * max_load / (demand[own_region] * used));
    const double rest = 1 - split.shares[own_region];
    if (!spread_share(split.shares, spare, rest)) {
        spread_share(split.shares, slots, rest);
    }
    return split;
}

double leave_failed_regions(region_split& split, std::span<const region_view> views,
                            const split_limits& limits, common::time_point now) {
    std::vector<double> headroom(views.size());
    double leaving = 0;
    for (std::size_t n = 0; n < views.size(); ++n) {
        headroom[n] = std::max(0.0, views[n].slots * limits.max_load - views[n].used_slots);
        leaving += views[n].slots > 0 ? 0 : split.shares[n];
    }
    const auto slots = slots_of(views);
    if (leaving <= 0 ||
        (!spread_share(split.shares, headroom, leaving) && !spread_share(split.shares, slots, leaving))) {
        return 0;
    }
    for (std::size_t n = 0; n < views.size(); ++n) {
        if (views[n].slots > 0) {
            split.moved_at[n] = now;
        } else {
            split.shares[n] = 0;
        }
    }
    return leaving;
}

double rebalance_split(region_split& split, std::span<const region_view> views,
                       const split_position& position, const split_limits& limits, common::time_point now) {
    move_state state{split, limits.shift_cap, now};
    std::vector<double> acceptable(views.size());
    for (std::size_t n = 0; n < views.size(); ++n) {
        acceptable[n] = acceptable_share(split, n, views[n], position, limits, now);
    }
    for (std::size_t from = 0; from < views.size(); ++from) {
        double excess =
            is_fresh(views[from], limits, now) ? excess_share(split.shares[from], views[from], limits) : 0;
        for (std::size_t to = 0; to < views.size() && excess > 0; ++to) {
            if (to != from) {
                const double moved = move_share(state, from, to, std::min(excess, acceptable[to]));
                excess -= moved;
                acceptable[to] -= moved;
            }
        }
    }
    const auto own = position.own_region;
    const auto& own_view = views[own];
    if (own_view.used_slots >= own_view.slots * limits.max_load * return_load_fraction) {
        return limits.shift_cap - state.remaining;
    }
    const double kept = std::max(0.0, state.remaining - limits.shift_cap * limits.return_part);
    state.remaining -= kept;
    for (std::size_t from = 0; from < views.size(); ++from) {
        if (from != own) {
            acceptable[own] -= move_share(state, from, own, acceptable[own]);
        }
    }
    return limits.shift_cap - kept - state.remaining;
}

} // namespace lycheegap::steering
