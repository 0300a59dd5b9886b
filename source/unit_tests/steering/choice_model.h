#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lycheegap::steering {

/// How a host of the model chooses.
enum class choice_policy : std::uint8_t { ours, round_robin, least_reported, central };

/// A deployment on virtual time. One endpoint reports no load at all times, one sheds a third of its
/// requests, one is cold from 10 s to 15 s and one drains from 20 s on.
struct choice_deployment {
    std::string name;
    int hosts{24};
    int endpoints{16};
    int slots{6};
    int regions{3};
    /// One way between regions, and within one.
    double far_ms{55};
    double near_ms{0.5};
    double mean_service_ms{40};
    /// Part of all slots in use on average.
    double load{0.6};
    int teams{8};
};

struct choice_result {
    double p50_ms{0};
    double p99_ms{0};
    /// 99th percentile of the team for which it is highest.
    double worst_team_ms{0};
    std::uint64_t answered{0};
    std::uint64_t refused{0};
    std::uint64_t shed{0};
    /// Requests begun at the draining endpoint later than 3 s after its drain began.
    std::uint64_t late_runs{0};
};

/// Runs 30 s of virtual time.
choice_result run_choice_model(const choice_deployment& deployment, choice_policy policy, std::uint64_t seed);

} // namespace lycheegap::steering
