#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include "ranked_mutex.h"

namespace lycheegap::common {

namespace accumulators = boost::accumulators;

/// Running count, mean, maximum and estimated 99th percentile of one quantity.
using metric_summary = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::count, accumulators::tag::mean, accumulators::tag::max,
                                accumulators::tag::p_square_quantile>>;

/// Values of a counter or summary at the time of reading. A counter has only a count.
struct metric_reading {
    std::string name;
    std::uint64_t count{0};
    double mean{0};
    double maximum{0};
    double quantile_99{0};
    bool is_counter{false};
};

/// Shared table of all counters and summaries of a process.
struct metrics_table {
    ranked_mutex mutex{lock_rank::metrics_table};
    std::map<std::string, std::uint64_t, std::less<>> counters;
    std::map<std::string, metric_summary, std::less<>> summaries;
};

/// Adds `n` to a counter, which is created on first use.
void count(metrics_table& table, std::string_view name, std::uint64_t n = 1);

/// Adds one value to a summary, which is created on first use. The unit is part of the name, such as
/// request_ms.
void measure(metrics_table& table, std::string_view name, double value);

/// All counters, then all summaries, each sorted by name.
std::vector<metric_reading> read_metrics(metrics_table& table);

/// Formats the readings in the Prometheus text exposition format.
std::string exposition_text(const std::vector<metric_reading>& readings);

} // namespace lycheegap::common
