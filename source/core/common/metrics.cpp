#include "metrics.h"

#include <cmath>
#include <mutex>

#include <fmt/format.h>

namespace lycheegap::common {

namespace {

constexpr double summary_quantile = 0.99;

metric_summary& find_or_add_summary(metrics_table& table, std::string_view name) {
    const auto it = table.summaries.find(name);
    if (it != table.summaries.end()) {
        return it->second;
    }
    auto summary = metric_summary(accumulators::quantile_probability = summary_quantile);
    return table.summaries.emplace(std::string(name), summary).first->second;
}

/// Formats a sample value for the Prometheus text exposition format.
std::string format_sample(double value) {
    if (std::isnan(value)) {
        return "NaN";
    }
    if (std::isinf(value)) {
        return value > 0 ? "+Inf" : "-Inf";
    }
    return fmt::format("{}", value);
}

std::string exposition_lines(const metric_reading& it) {
    if (it.is_counter) {
        return fmt::format("# TYPE lycheegap_{0} counter\nlycheegap_{0} {1}\n", it.name, it.count);
    }
    return fmt::format("# TYPE lycheegap_{0} summary\nlycheegap_{0}{{quantile=\"0.99\"}} {1}\n"
                       "lycheegap_{0}_sum {2}\nlycheegap_{0}_count {3}\n",
                       it.name, format_sample(it.quantile_99),
                       format_sample(it.mean * static_cast<double>(it.count)), it.count);
}

} // namespace

void count(metrics_table& table, std::string_view name, std::uint64_t n) {
    const std::lock_guard guard(table.mutex);
    const auto it = table.counters.find(name);
    if (it != table.counters.end()) {
        it->second += n;
        return;
    }
    table.counters.emplace(std::string(name), n);
}

void measure(metrics_table& table, std::string_view name, double value) {
    const std::lock_guard guard(table.mutex);
    find_or_add_summary(table, name)(value);
}

std::vector<metric_reading> read_metrics(metrics_table& table) {
    std::vector<metric_reading> readings;
    const std::lock_guard guard(table.mutex);
    for (const auto& [name, n] : table.counters) {
        readings.push_back({name, n, 0, 0, 0, true});
    }
    for (const auto& [name, values] : table.summaries) {
        readings.push_back({name, accumulators::count(values), accumulators::mean(values),
                            accumulators::max(values), accumulators::p_square_quantile(values), false});
    }
    return readings;
}

std::string exposition_text(const std::vector<metric_reading>& readings) {
    std::string text;
    for (const auto& it : readings) {
        text += exposition_lines(it);
    }
    return text;
}

} // namespace lycheegap::common
