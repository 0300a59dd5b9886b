#pragma once

#include <cstdint>
#include <vector>

#include "core/allowance/loan.h"

namespace lycheegap::allowance::model {

/// How the fleet keeps to the team's limits. All but the first two are naive.
enum class method : std::uint8_t {
    /// The product's functions.
    loans,
    /// One ideal bucket without delay: what refusals are compared with.
    central,
    /// Each host has an equal part of rate and burst.
    equal_parts,
    /// Each host has the whole rate and burst.
    full_bucket_each,
    /// A borrower counts a loan's length from when the answer came.
    count_from_receipt,
    /// A new home begins with a full bucket and waits for nothing.
    full_after_move,
    /// Tokens on loan don't count against the burst.
    loans_outside_burst,
};

/// One history on virtual time. Times are in seconds.
struct history_options {
    method how{method::loans};
    std::uint64_t seed{1};
    int hosts{4};
    int regions{3};
    team_limits limits{20, 5};
    loan_policy policy;
    double length{3};
    /// Requests a second over all hosts, and how unevenly they fall on them: 0 is evenly.
    double load{18};
    double skew{0};
    double between_regions{0.055};
    double within_region{0.0005};
    /// Longest time without an answer before a question counts as failed.
    double question_limit{1};
    double authority_length{3};

    /// Faults: part of messages lost, part of messages late and by how much, pauses and moves of the home
    /// per second, clock rates that differ, changes of limits per second.
    double lost_part{0};
    double late_part{0};
    double late_by{0};
    double pauses{0};
    double pause_length{0.5};
    double moves{0};
    double limit_changes{0};
    bool clocks_drift{false};
    bool demand_moves{false};

    /// The home, or another host, dies at this moment; a new generation is recorded after `detection`. With
    /// the store down no generation can follow.
    double home_dies_at{-1};
    double other_dies_at{-1};
    double detection{1};
    bool store_down{false};
};

struct history_result {
    int requests{0};
    int admitted{0};
    /// The home, or the ideal bucket, had no token.
    int refused{0};
    /// The home gave no answer or was not known.
    int unreachable{0};
    int waited{0};
    double wait_sum{0};
    double wait_most{0};
    int messages{0};
    /// Least content of an ideal bucket fed with all admissions; below zero, some window had too many.
    double least{0};
};

history_result run_history(const history_options& options);

} // namespace lycheegap::allowance::model
