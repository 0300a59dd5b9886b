#pragma once

#include <cstdint>
#include <vector>

#include "core/allowance/loan.h"

namespace lycheegap::allowance::model {

/// How the simulated fleet enforces the team's limits. `loans` is the implementation under test, `central`
/// the reference; all others are naive variants.
enum class rate_limiter : std::uint8_t {
    /// The functions of core/allowance.
    loans,
    /// A single token bucket without network delay; the reference for refusals.
    central,
    /// Each host has an equal share of rate and burst.
    equal_shares,
    /// Each host has the full rate and burst.
    full_bucket_per_host,
    /// A borrower counts a loan's lifetime from the receipt of the grant.
    deadline_from_receipt,
    /// A new home starts with a full bucket and doesn't wait for loans of the previous home to expire.
    full_bucket_after_move,
    /// Tokens on loan don't count against the burst.
    loans_outside_burst,
};

/// Parameters of one simulation in virtual time, for one team.
struct simulation_options {
    rate_limiter limiter{rate_limiter::loans};
    std::uint64_t seed{1};
    int hosts{4};
    int regions{3};
    team_limits limits{20, 5};
    loan_policy policy;
    double duration_s{3};
    /// Caller requests per second over all hosts. Host n gets a share in proportion to (n + 1)^-demand_skew,
    /// in shuffled order; 0 spreads them evenly.
    double requests_per_s{18};
    double demand_skew{0};
    /// One-way message delays.
    double inter_region_delay_s{0.055};
    double intra_region_delay_s{0.0005};
    /// Time after which a token request without an answer has failed.
    double request_timeout_s{1};
    /// Longest time for which a host that has not learned of a new generation may act under the old one.
    double authority_duration_s{3};

    /// Faults. Message loss and extra delay are per message; pauses, home moves and limit changes are mean
    /// rates over the fleet. A pause takes 0.1 to 2 times `pause_length_s`.
    double loss_probability{0};
    double extra_delay_probability{0};
    double extra_delay_s{0};
    double pauses_per_s{0};
    double pause_length_s{0.5};
    double home_moves_per_s{0};
    double limit_changes_per_s{0};
    /// Each host's clock rate is off by up to `max_clock_drift`.
    bool clocks_drift{false};
    /// The hosts' shares of the requests are reshuffled at random times.
    bool shuffle_demand{false};

    /// Times at which the home or another host dies; negative is never. After the home's death a new
    /// generation is recorded with a delay of `detection_delay_s`; while the store is down no generation is
    /// recorded.
    double home_dies_at_s{-1};
    double other_host_dies_at_s{-1};
    double detection_delay_s{1};
    bool store_down{false};
};

struct simulation_result {
    int requests{0};
    int admitted{0};
    /// Refused because the home, or the host's own or the central bucket, had no token.
    int refused{0};
    /// Refused because the home gave no answer or the host had no authority, or lost with a dead host.
    int unreachable{0};
    /// Admitted after a wait.
    int waited{0};
    double total_wait_s{0};
    double max_wait_s{0};
    int messages{0};
    /// Lowest level of a token bucket with the team's limits that is charged for every admission. Below zero,
    /// more than burst + rate x t requests were admitted in some window.
    double min_audit_tokens{0};
};

simulation_result run_simulation(const simulation_options& options);

} // namespace lycheegap::allowance::model
