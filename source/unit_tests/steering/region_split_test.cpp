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

constexpr std::size_t region_count = 3;
constexpr std::size_t host_count = 24;
constexpr double slots_per_region = 32;
constexpr double tolerance = 1e-9;
constexpr auto interval = milliseconds(1000);
constexpr int interval_count = 120;

/// `bounded` is the implementation under test. In the naive variant `full_headroom` each host uses a region's
/// full headroom, in every decision anew, and in `no_shift_cap` only its share of it. Neither has a shift
/// cap.
enum class split_variant : std::uint8_t { bounded, full_headroom, no_shift_cap };

/// A fleet in virtual time. All hosts decide at the same time, on the same measurement, which may be old.
struct fleet_model {
    std::vector<region_split> splits;
    std::vector<double> demand_slots;
    std::array<double, region_count> slots{slots_per_region, slots_per_region, slots_per_region};
    std::vector<region_view> views;
    time_point now{milliseconds(1'000'000)};
    /// Largest fraction of all requests that one decision moved.
    double max_moved_share{0};
    /// Highest load of a region right after requests moved there, as a fraction of its slots.
    double max_receiving_load{0};
};

std::size_t region_of(std::size_t host) {
    return host % region_count;
}

double count_used_slots(const fleet_model& fleet, std::size_t region) {
    double used = 0;
    for (std::size_t n = 0; n < host_count; ++n) {
        used += fleet.splits[n].shares[region] * fleet.demand_slots[n];
    }
    return used;
}

void measure(fleet_model& fleet) {
    fleet.views.resize(region_count);
    for (std::size_t n = 0; n < region_count; ++n) {
        fleet.views[n] = {fleet.slots[n], fleet.slots[n] > 0 ? count_used_slots(fleet, n) : 0, fleet.now};
    }
}

fleet_model make_fleet(std::mt19937_64& random) {
    std::uniform_real_distribution<double> load(0.2, 0.65);
    const std::array<double, region_count> loads = {load(random), load(random), load(random)};
    fleet_model fleet;
    fleet.splits.resize(host_count);
    for (std::size_t n = 0; n < host_count; ++n) {
        fleet.demand_slots.push_back(loads[region_of(n)] * slots_per_region * region_count / host_count);
        fleet.splits[n].shares.resize(region_count);
        fleet.splits[n].shares[region_of(n)] = 1;
        fleet.splits[n].moved_at.resize(region_count);
    }
    measure(fleet);
    return fleet;
}

/// Lets all hosts decide once. Records how much moved and the load of the regions that received requests.
void decide(fleet_model& fleet, split_variant variant, const split_limits& limits) {
    std::array<double, region_count> before{};
    for (std::size_t n = 0; n < region_count; ++n) {
        before[n] = count_used_slots(fleet, n);
    }
    auto variant_limits = limits;
    variant_limits.shift_cap = variant == split_variant::bounded ? limits.shift_cap : 1;
    double moved = 0;
    for (std::size_t n = 0; n < host_count; ++n) {
        if (variant == split_variant::full_headroom) {
            fleet.splits[n].moved_at.assign(region_count, time_point{});
        }
        const split_position position{region_of(n), variant == split_variant::full_headroom ? 1 : host_count,
                                      fleet.demand_slots[n]};
        moved += rebalance_split(fleet.splits[n], fleet.views, position, variant_limits, fleet.now) *
                 fleet.demand_slots[n];
        const auto& shares = fleet.splits[n].shares;
        REQUIRE(std::accumulate(shares.begin(), shares.end(), 0.0) == doctest::Approx(1));
        REQUIRE(*std::min_element(shares.begin(), shares.end()) >= -tolerance);
    }
    const double demand = std::accumulate(fleet.demand_slots.begin(), fleet.demand_slots.end(), 0.0);
    fleet.max_moved_share = std::max(fleet.max_moved_share, moved / demand);
    for (std::size_t n = 0; n < region_count; ++n) {
        if (fleet.slots[n] > 0 && count_used_slots(fleet, n) > before[n] + tolerance) {
            fleet.max_receiving_load =
                std::max(fleet.max_receiving_load, count_used_slots(fleet, n) / fleet.slots[n]);
        }
    }
}

/// Runs two minutes in which a region fails at 10 s and recovers at 50 s. A measurement is used for up to
/// three intervals.
fleet_model run_region_failure(std::uint64_t seed, split_variant variant, const split_limits& limits) {
    std::mt19937_64 random(seed);
    auto fleet = make_fleet(random);
    const auto failed_region = random() % region_count;
    for (int n = 0; n < interval_count; ++n) {
        fleet.now += interval;
        fleet.slots[failed_region] = n >= 10 && n < 50 ? 0 : slots_per_region;
        if (random() % 3 == 0 || n % 3 == 0) {
            measure(fleet);
        }
        decide(fleet, variant, limits);
    }
    return fleet;
}

} // namespace

TEST_SUITE("shift_cap") {
    TEST_CASE("no interval moves more than the shift cap while a region fails and recovers") {
        const split_limits limits;
        double naive_max = 0;
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            CAPTURE(seed);
            REQUIRE(run_region_failure(seed, split_variant::bounded, limits).max_moved_share <=
                    limits.shift_cap + tolerance);
            naive_max = std::max(
                naive_max, run_region_failure(seed, split_variant::no_shift_cap, limits).max_moved_share);
        }
        MESSAGE("naive variant without a cap: " << naive_max * 100 << "% in one interval");
        CHECK(naive_max > limits.shift_cap);
    }

    TEST_CASE("the split stays unchanged when measurements stop") {
        const split_limits limits;
        std::mt19937_64 random(7);
        auto fleet = make_fleet(random);
        fleet.views[0].slots = 0;
        const auto measured_at = fleet.now;
        bool moved_while_fresh = false;
        for (int n = 0; n < 30; ++n) {
            fleet.now += interval;
            const auto before = fleet.splits;
            decide(fleet, split_variant::bounded, limits);
            bool unchanged = true;
            for (std::size_t host = 0; host < host_count; ++host) {
                unchanged = unchanged && before[host].shares == fleet.splits[host].shares;
            }
            if (fleet.now < measured_at + limits.measurement_lifetime) {
                moved_while_fresh = moved_while_fresh || !unchanged;
            } else {
                REQUIRE(unchanged);
            }
        }
        CHECK(moved_while_fresh);
    }

    TEST_CASE(
        "all requests are back in their own region at the end, after a region has failed and recovered") {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            CAPTURE(seed);
            const auto fleet = run_region_failure(seed, split_variant::bounded, {});
            for (std::size_t n = 0; n < host_count; ++n) {
                REQUIRE(fleet.splits[n].shares[region_of(n)] > 0.99);
            }
        }
    }
}

TEST_SUITE("region_headroom") {
    TEST_CASE("24 hosts deciding at the same time on a stale measurement overload no region") {
        const split_limits limits;
        double naive_max = 0;
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            CAPTURE(seed);
            REQUIRE(run_region_failure(seed, split_variant::bounded, limits).max_receiving_load <=
                    limits.max_load + tolerance);
            naive_max = std::max(
                naive_max, run_region_failure(seed, split_variant::full_headroom, limits).max_receiving_load);
        }
        MESSAGE("naive variant, each host uses the full headroom: " << naive_max * 100 << "% of the slots");
        CHECK(naive_max > 1);
    }
}

TEST_SUITE("failed_regions") {
    TEST_CASE("the share of a region without slots goes to the others by headroom") {
        const time_point now{milliseconds(1000)};
        const std::vector<region_view> views{{0, 0, now}, {100, 60, now}, {100, 40, now}};
        region_split split{{0.6, 0.4, 0}, std::vector<time_point>(3)};
        CHECK(leave_failed_regions(split, views, {}, now) == doctest::Approx(0.6));
        CHECK(split.shares[0] == 0);
        CHECK(split.shares[1] == doctest::Approx(0.6));
        CHECK(split.shares[2] == doctest::Approx(0.4));
        CHECK(leave_failed_regions(split, views, {}, now) == 0);
        const std::vector<region_view> all_failed(3);
        CHECK(leave_failed_regions(split, all_failed, {}, now) == 0);
        CHECK(split.shares[1] == doctest::Approx(0.6));
    }

    TEST_CASE("before any load is measured, the own region keeps what fits") {
        const std::vector<region_view> views{{1000, 0, {}}, {200, 0, {}}, {800, 0, {}}};
        const std::vector<double> demand(3, 1.0 / 3);
        CHECK(make_expected_split(views, demand, 0, 0.5, 0.75).shares == std::vector<double>{1, 0, 0});
        const auto shares = make_expected_split(views, demand, 1, 0.5, 0.75).shares;
        CHECK(shares[1] == doctest::Approx(200 * 0.75 / (2000 * 0.5 / 3)));
        CHECK(shares[0] > shares[2]);
        CHECK(std::accumulate(shares.begin(), shares.end(), 0.0) == doctest::Approx(1));
    }
}

} // namespace lycheegap::steering
