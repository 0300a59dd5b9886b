#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lycheegap::steering {

/// How the simulated hosts choose an endpoint: `two_choices` is `choose_endpoint`, `round_robin` and
/// `least_reported` are naive alternatives, and `central` knows the actual number of running requests.
enum class choice_policy : std::uint8_t { two_choices, round_robin, least_reported, central };

/// A simulated deployment in virtual time. One endpoint always reports a load of 0, one sheds a third of its
/// requests, one is slow from 10 s to 15 s while it warms up, and one drains from 20 s on.
struct choice_deployment {
    std::string name;
    int hosts{24};
    int endpoints{16};
    int slots{6};
    int regions{3};
    /// One-way delays between regions and within a region.
    double inter_region_ms{55};
    double intra_region_ms{0.5};
    double mean_service_ms{40};
    /// Mean fraction of all slots in use.
    double mean_load{0.6};
    int teams{8};
};

struct choice_result {
    double p50_ms{0};
    double p99_ms{0};
    /// Highest 99th percentile of any single team.
    double worst_team_ms{0};
    std::uint64_t answered{0};
    std::uint64_t refused{0};
    std::uint64_t shed{0};
    /// Requests started at the draining endpoint more than 3 s after its drain began.
    std::uint64_t late_runs{0};
};

/// Simulates 30 s of arriving requests and runs until all have ended.
choice_result run_choice_model(const choice_deployment& deployment, choice_policy policy, std::uint64_t seed);

} // namespace lycheegap::steering
