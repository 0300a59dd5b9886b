#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/traffic/placement.h"

namespace lycheegap::traffic {

/// Endpoints of one region, and the load of its callers.
struct model_region {
    int endpoints{0};
    /// Requests per second.
    double rate{0};
};

/// A fleet whose hosts place requests for objects at endpoints with caches, in virtual time.
struct model_options {
    std::uint64_t seed{1};
    placement_rule rule{placement_rule::by_work};
    std::vector<model_region> regions;
    int hosts_per_region{12};
    int slots{9};
    std::size_t queue_limit{27};
    std::size_t cached_objects{17};
    int objects{329};
    double uncached_ms{1700};
    double cached_factor{0.3};
    double target_ms{1500};
    double deadline_ms{10'000};
    double one_way_ms{55};
    /// Share of the time for which a machine is slower by the factor; it changes every 600 ms.
    double slow_share{0};
    double slow_factor{2.5};
    /// An endpoint that is slower by `slow_factor` all the time; -1: none.
    int slow_endpoint{-1};
    /// The endpoints' reports state the pace.
    bool reports_pace{true};
    double seconds{20};
    /// Requests before this time are not counted.
    double count_from_s{5};
    /// Factor on the rates by time in seconds; empty: 1.
    std::function<double(double)> rate_factor;
};

struct model_outcome {
    int requests{0};
    int in_time{0};
    int late{0};
    int refused{0};
    /// Turned away by the endpoint.
    int shed{0};
    int cached{0};
    int uncached{0};
    int crossed{0};
    /// By region of the caller.
    std::vector<int> requests_from;
    std::vector<int> in_time_from;
    /// Requests that the slow endpoint ran.
    int at_slow_endpoint{0};
    /// Sum of the differences between expected and measured times in ms, and of the measured ones.
    double error_ms{0};
    double answer_ms{0};
};

model_outcome run_placement_model(const model_options& options);

} // namespace lycheegap::traffic
