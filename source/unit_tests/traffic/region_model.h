#pragma once

#include <array>
#include <span>
#include <string>
#include <vector>

#include "core/traffic/region_routing.h"

namespace lycheegap::traffic {

inline constexpr std::size_t model_regions = 3;

/// One host of the model: its knowledge of the endpoints and its division over the regions.
struct region_model_host {
    std::string name;
    std::size_t region{0};
    region_routing routing;
};

/// Number of a region's requests that run in each region.
using region_counts = std::array<double, model_regions>;

/// A fleet in virtual time that serves one service with endpoints in three regions. Requests for objects are
/// routed by every host's own division; the load of the regions follows with the time that requests take.
struct region_model {
    std::vector<std::string> names{"east", "middle", "west"};
    std::vector<std::string> objects;
    std::vector<std::string> host_regions;
    std::vector<region_model_host> hosts;
    /// Slots that can be used and slots in use, by region.
    region_counts slots{};
    region_counts used{};
    common::time_point now{common::milliseconds(1'000'000)};
    region_limits limits;
};

/// Slots that the requests of each region's callers take, in sum.
using region_demand = std::array<double, model_regions>;

region_model make_region_model(std::size_t hosts, std::size_t objects, const region_counts& slots,
                               double max_shift);

/// Routes one second of requests and lets all hosts decide once, each on a measurement that is off by a few
/// percent. Returns where the requests of each region's callers ran.
std::array<region_counts, model_regions> run_second(region_model& model, const region_demand& demand);

/// Fraction of requests that change their region from one window to the next.
double changed_fraction(const region_counts& before, const region_counts& after);

/// Largest such fraction of any region's callers, over windows of two seconds that begin at any second.
double largest_shift(std::span<const std::array<region_counts, model_regions>> seconds);

} // namespace lycheegap::traffic
