#include "metrics.h"

#include <cmath>
#include <mutex>

#include <fmt/format.h>

namespace lycheegap::common {

namespace {

constexpr double tail_probability = 0.99;

series& find_series(metrics_table& table, std::string_view name) {
    const auto it = table.measured.find(name);
    if (it != table.measured.end()) {
        return it->second;
    }
    auto fresh = series(accumulators::quantile_probability = tail_probability);
    return table.measured.emplace(std::string(name), fresh).first->second;
}

/// Numbers as the exposition format writes them.
std::string number_text(double value) {
    if (std::isnan(value)) {
        return "NaN";
    }
    if (std::isinf(value)) {
        return value > 0 ? "+Inf" : "-Inf";
    }
    return fmt::format("{}", value);
}

std::string line_of(const metric_reading& it) {
    if (it.is_counter) {
        return fmt::format("# TYPE lycheegap_{0} counter\nlycheegap_{0} {1}\n", it.name, it.count);
    }
    return fmt::format("# TYPE lycheegap_{0} summary\nlycheegap_{0}{{quantile=\"0.99\"}} {1}\n"
                       "lycheegap_{0}_sum {2}\nlycheegap_{0}_count {3}\n",
                       it.name, number_text(it.quantile_99),
                       number_text(it.mean * static_cast<double>(it.count)), it.count);
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
    find_series(table, name)(value);
}

std::vector<metric_reading> read_metrics(metrics_table& table) {
    std::vector<metric_reading> readings;
    const std::lock_guard guard(table.mutex);
    for (const auto& [name, n] : table.counters) {
        readings.push_back({name, n, 0, 0, 0, true});
    }
    for (const auto& [name, values] : table.measured) {
        readings.push_back({name, accumulators::count(values), accumulators::mean(values),
                            accumulators::max(values), accumulators::p_square_quantile(values), false});
    }
    return readings;
}

std::string exposition_text(const std::vector<metric_reading>& readings) {
    std::string text;
    for (const auto& it : readings) {
        text += line_of(it);
    }
    return text;
}

} // namespace lycheegap::common
