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

/// Count, mean, maximum and 99th percentile of one quantity.
using series = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::count, accumulators::tag::mean, accumulators::tag::max,
                                accumulators::tag::p_square_quantile>>;

/// One series as read at a moment. A counter has only a count.
struct metric_reading {
    std::string name;
    std::uint64_t count{0};
    double mean{0};
    double maximum{0};
    double quantile_99{0};
    bool is_counter{false};
};

/// Shared table of all counters and series of a process.
struct metrics_table {
    ranked_mutex mutex{lock_rank::metrics_table};
    std::map<std::string, std::uint64_t, std::less<>> counters;
    std::map<std::string, series, std::less<>> measured;
};

/// Adds to a counter.
void count(metrics_table& table, std::string_view name, std::uint64_t n = 1);

/// Adds one value to a series; the unit is part of the name, such as request_ms.
void measure(metrics_table& table, std::string_view name, double value);

/// All counters and series, by name.
std::vector<metric_reading> read_metrics(metrics_table& table);

/// The readings in the text exposition format of Prometheus.
std::string exposition_text(const std::vector<metric_reading>& readings);

} // namespace lycheegap::common
