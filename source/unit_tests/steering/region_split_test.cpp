#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <random>
#include <vector>

#include <doctest/doctest.h>

#include "core/steering/region_split.h"

namespace lycheegap::steering {

namespace {

using common::milliseconds;
using common::time_point;

constexpr std::size_t regions = 3;
constexpr std::size_t hosts = 24;
constexpr double slots_per_region = 32;
constexpr double tolerance = 1e-9;
constexpr auto interval = milliseconds(1000);
constexpr int intervals = 120;

enum class policy : std::uint8_t { ours, whole_headroom, at_once };

/// A fleet on virtual time: hosts decide at the same moment on one measurement that may be old.
struct fleet_model {
    std::vector<region_split> splits;
    std::vector<double> demand_slots;
    std::array<double, regions> slots{slots_per_region, slots_per_region, slots_per_region};
    std::vector<region_view> views;
    time_point now{milliseconds(1'000'000)};
    double largest_shift{0};
    /// Greatest use of a region's slots that moved requests have brought about, 1 is full.
    double largest_load{0};
};

std::size_t region_of(std::size_t host) {
    return host % regions;
}

double used_in(const fleet_model& it, std::size_t region) {
    double used = 0;
    for (std::size_t n = 0; n < hosts; ++n) {
        used += it.splits[n].shares[region] * it.demand_slots[n];
    }
    return used;
}

void measure(fleet_model& it) {
    it.views.resize(regions);
    for (std::size_t n = 0; n < regions; ++n) {
        it.views[n] = {it.slots[n], it.slots[n] > 0 ? used_in(it, n) : 0, it.now};
    }
}

fleet_model start_model(std::mt19937_64& random) {
    std::uniform_real_distribution<double> load(0.2, 0.65);
    const std::array<double, regions> loads = {load(random), load(random), load(random)};
    fleet_model it;
    it.splits.resize(hosts);
    for (std::size_t n = 0; n < hosts; ++n) {
        it.demand_slots.push_back(loads[region_of(n)] * slots_per_region * regions / hosts);
        it.splits[n].shares.resize(regions);
        it.splits[n].shares[region_of(n)] = 1;
        it.splits[n].moved_at.resize(regions);
    }
    measure(it);
    return it;
}

/// All hosts decide; notes how much moved, and the load of regions that requests were moved to.
void decide(fleet_model& it, policy kind, const split_limits& limits) {
    std::array<double, regions> before{};
    for (std::size_t n = 0; n < regions; ++n) {
        before[n] = used_in(it, n);
    }
    auto chosen = limits;
    chosen.shift_cap = kind == policy::ours ? limits.shift_cap : 1;
    double moved = 0;
    for (std::size_t n = 0; n < hosts; ++n) {
        if (kind == policy::whole_headroom) {
            it.splits[n].moved_at.assign(regions, time_point{});
        }
        const split_position position{region_of(n), kind == policy::whole_headroom ? 1 : hosts,
                                      it.demand_slots[n]};
        moved += move_split(it.splits[n], it.views, position, chosen, it.now) * it.demand_slots[n];
        const auto& shares = it.splits[n].shares;
        REQUIRE(std::accumulate(shares.begin(), shares.end(), 0.0) == doctest::Approx(1));
        REQUIRE(*std::min_element(shares.begin(), shares.end()) >= -tolerance);
    }
    const double demand = std::accumulate(it.demand_slots.begin(), it.demand_slots.end(), 0.0);
    it.largest_shift = std::max(it.largest_shift, moved / demand);
    for (std::size_t n = 0; n < regions; ++n) {
        if (it.slots[n] > 0 && used_in(it, n) > before[n] + tolerance) {
            it.largest_load = std::max(it.largest_load, used_in(it, n) / it.slots[n]);
        }
    }
}

/// A region fails at 10 s and comes back at 50 s; measurements lag by up to three intervals throughout.
fleet_model run_failure(std::uint64_t seed, policy kind, const split_limits& limits) {
    std::mt19937_64 random(seed);
    auto it = start_model(random);
    const auto failing = random() % regions;
    for (int n = 0; n < intervals; ++n) {
        it.now += interval;
        it.slots[failing] = n >= 10 && n < 50 ? 0 : slots_per_region;
        if (random() % 3 == 0 || n % 3 == 0) {
            measure(it);
        }
        decide(it, kind, limits);
    }
    return it;
}

} // namespace

TEST_SUITE("shift_cap") {
    TEST_CASE("no interval moves more than the cap while a region fails and comes back") {
        const split_limits limits;
        double naive = 0;
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            CAPTURE(seed);
            REQUIRE(run_failure(seed, policy::ours, limits).largest_shift <= limits.shift_cap + tolerance);
            naive = std::max(naive, run_failure(seed, policy::at_once, limits).largest_shift);
        }
        MESSAGE("naive version, moves at once: " << naive * 100 << "% in one interval");
        CHECK(naive > limits.shift_cap);
    }

    TEST_CASE("the split freezes when measurements stop") {
        const split_limits limits;
        std::mt19937_64 random(7);
        auto it = start_model(random);
        it.views[0].slots = 0;
        const auto measured_at = it.now;
        bool moved_before = false;
        for (int n = 0; n < 30; ++n) {
            it.now += interval;
            const auto before = it.splits;
            decide(it, policy::ours, limits);
            bool same = true;
            for (std::size_t host = 0; host < hosts; ++host) {
                same = same && before[host].shares == it.splits[host].shares;
            }
            if (it.now < measured_at + limits.measurement_lifetime) {
                moved_before = moved_before || !same;
            } else {
                REQUIRE(same);
            }
        }
        CHECK(moved_before);
    }

    TEST_CASE("all requests come home in the end, and leave a failed region in the end") {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            CAPTURE(seed);
            const auto it = run_failure(seed, policy::ours, {});
            for (std::size_t n = 0; n < hosts; ++n) {
                REQUIRE(it.splits[n].shares[region_of(n)] > 0.99);
            }
        }
    }
}

TEST_SUITE("region_headroom") {
    TEST_CASE("24 hosts that decide at once on one stale report fill no region beyond its slots") {
        const split_limits limits;
        double naive = 0;
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            CAPTURE(seed);
            REQUIRE(run_failure(seed, policy::ours, limits).largest_load <= limits.full_load + tolerance);
            naive = std::max(naive, run_failure(seed, policy::whole_headroom, limits).largest_load);
        }
        MESSAGE("naive version, each host takes the whole headroom: " << naive * 100 << "% of the slots");
        CHECK(naive > 1);
    }
}

} // namespace lycheegap::steering
