#pragma once

#include <span>
#include <string>
#include <vector>

#include "caller.h"

namespace lycheegap::load {

/// Sends all requests of the plan at their arrival times and blocks until the last one has ended.
std::vector<request_result> run_load(const load_plan& plan);

/// Counts per outcome and latency percentiles.
struct load_summary {
    std::size_t answered{0};
    std::size_t not_run{0};
    std::size_t unknown{0};
    std::size_t not_sent{0};
    /// Percentiles of the answered requests; 0 when there are none.
    double p50_ms{0};
    double p99_ms{0};
};

load_summary summarize(std::span<const request_result> ends);

/// Formats a table with the number of requests per outcome and status or reason.
std::string outcome_table(std::span<const request_result> ends);

/// Formats a summary as one line of key=value pairs.
std::string summary_line(const load_summary& summary);

} // namespace lycheegap::load
