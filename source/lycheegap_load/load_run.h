#pragma once

#include <span>
#include <string>
#include <vector>

#include "caller.h"

namespace lycheegap::load {

/// Sends all requests of the plan at their moments and waits for their ends.
std::vector<request_end> run_load(const load_plan& plan);

/// The ends in numbers.
struct load_summary {
    std::size_t answered{0};
    std::size_t not_run{0};
    std::size_t unknown{0};
    std::size_t not_sent{0};
    /// Percentiles of whole answers.
    double p50_ms{0};
    double p99_ms{0};
};

load_summary summarize(std::span<const request_end> ends);

/// A table of outcomes and reasons.
std::string outcome_table(std::span<const request_end> ends);

/// One line of key=value pairs.
std::string summary_line(const load_summary& summary);

} // namespace lycheegap::load
