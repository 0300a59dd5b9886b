#include "region_split.h"

#include <algorithm>
#include <numeric>

namespace lycheegap::steering {

namespace {

// Moving home begins well below the load at which requests are moved away, so that shares do not swing.
constexpr double return_part = 0.9;
constexpr double least_demand_slots = 1e-6;

bool is_fresh(const region_view& it, const split_limits& limits, common::time_point now) {
    return it.measured_at + limits.measurement_lifetime > now;
}

/// Part of this host's requests that it may move to the region: its part of the headroom.
double room_in(const region_split& split, std::size_t region, const region_view& view,
               const split_position& position, const split_limits& limits, common::time_point now) {
    // A measurement from before the last move does not show that move: its headroom is spent.
    if (!is_fresh(view, limits, now) || view.measured_at <= split.moved_at[region]) {
        return 0;
    }
    const double headroom = std::max(0.0, view.slots * limits.full_load - view.used);
    return headroom / static_cast<double>(position.hosts) /
           std::max(position.demand_slots, least_demand_slots);
}

/// Part of the share that should leave a region.
double surplus_of(double share, const region_view& view, const split_limits& limits) {
    if (share <= 0 || view.slots <= 0) {
        return share;
    }
    const double over = view.used - view.slots * limits.full_load;
    return over <= 0 ? 0 : share * std::min(1.0, over / view.used);
}

struct move_state {
    region_split& split;
    double left{0};
    common::time_point now;
};

double move_share(move_state& state, std::size_t from, std::size_t to, double wanted) {
    const double moved = std::clamp(wanted, 0.0, std::min(state.left, state.split.shares[from]));
    if (moved > 0) {
        state.split.shares[from] -= moved;
        state.split.shares[to] += moved;
        state.split.moved_at[to] = state.now;
        state.left -= moved;
    }
    return moved;
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

double move_split(region_split& split, std::span<const region_view> views, const split_position& position,
                  const split_limits& limits, common::time_point now) {
    move_state state{split, limits.shift_cap, now};
    std::vector<double> room(views.size());
    for (std::size_t n = 0; n < views.size(); ++n) {
        room[n] = room_in(split, n, views[n], position, limits, now);
    }
    for (std::size_t from = 0; from < views.size(); ++from) {
        double surplus =
            is_fresh(views[from], limits, now) ? surplus_of(split.shares[from], views[from], limits) : 0;
        for (std::size_t to = 0; to < views.size() && surplus > 0; ++to) {
            if (to != from) {
                const double moved = move_share(state, from, to, std::min(surplus, room[to]));
                surplus -= moved;
                room[to] -= moved;
            }
        }
    }
    const auto own = position.own_region;
    const auto& home = views[own];
    if (home.used >= home.slots * limits.full_load * return_part) {
        return limits.shift_cap - state.left;
    }
    for (std::size_t from = 0; from < views.size(); ++from) {
        if (from != own) {
            room[own] -= move_share(state, from, own, room[own]);
        }
    }
    return limits.shift_cap - state.left;
}

} // namespace lycheegap::steering
