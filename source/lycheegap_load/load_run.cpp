#include "load_run.h"

#include <algorithm>
#include <array>
#include <map>
#include <mutex>

#include <fmt/format.h>

#include "core/common/worker_pool.h"

namespace lycheegap::load {

namespace {

constexpr std::array<std::string_view, 4> outcome_names = {"answered", "not_run", "unknown", "not_sent"};

std::string_view outcome_name(outcome how) {
    return outcome_names.at(static_cast<std::size_t>(how));
}

/// Finished requests, filled by the workers.
struct result_table {
    common::ranked_mutex mutex{common::lock_rank::leaf};
    std::condition_variable_any changed;
    std::vector<request_result> ends;
};

void add_result(result_table& table, request_result end) {
    const std::lock_guard guard(table.mutex);
    table.ends.push_back(std::move(end));
    table.changed.notify_all();
}

double percentile(std::vector<double>& sorted, double fraction) {
    if (sorted.empty()) {
        return 0;
    }
    const auto n = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1));
    return sorted[n];
}

} // namespace

std::vector<request_result> run_load(const load_plan& plan) {
    transport::connection_pool connections;
    lookup_cache cache;
    result_table table;
    const auto arrivals = plan_arrivals(plan, common::monotonic::now());
    common::worker_pool pool(plan.workers);
    for (std::size_t n = 0; n < arrivals.size(); ++n) {
        pool.submit_at(arrivals[n], [&, n] { add_result(table, send_request(plan, cache, connections, n)); });
    }
    {
        std::unique_lock guard(table.mutex);
        table.changed.wait(guard, [&] { return table.ends.size() == arrivals.size(); });
    }
    pool.stop();
    return std::move(table.ends);
}

load_summary summarize(std::span<const request_result> ends) {
    load_summary summary;
    std::vector<double> latencies;
    for (const auto& it : ends) {
        summary.answered += it.final_outcome == outcome::answered ? 1 : 0;
        summary.not_run += it.final_outcome == outcome::not_run ? 1 : 0;
        summary.unknown += it.final_outcome == outcome::unknown ? 1 : 0;
        summary.not_sent += it.final_outcome == outcome::not_sent ? 1 : 0;
        if (it.final_outcome == outcome::answered) {
            latencies.push_back(it.latency_ms);
        }
    }
    std::sort(latencies.begin(), latencies.end());
    summary.p50_ms = percentile(latencies, 0.50);
    summary.p99_ms = percentile(latencies, 0.99);
    return summary;
}

std::string outcome_table(std::span<const request_result> ends) {
    std::map<std::pair<std::string_view, std::string_view>, std::size_t> counts;
    for (const auto& it : ends) {
        ++counts[{outcome_name(it.final_outcome), it.reason}];
    }
    auto text = fmt::format("{:<10} {:<28} {:>8}\n", "outcome", "status or reason", "requests");
    for (const auto& [key, n] : counts) {
        text += fmt::format("{:<10} {:<28} {:>8}\n", key.first, key.second, n);
    }
    return text;
}

std::string summary_line(const load_summary& summary) {
    return fmt::format("answered={} not_run={} unknown={} not_sent={} p50_ms={:.2f} p99_ms={:.2f}",
                       summary.answered, summary.not_run, summary.unknown, summary.not_sent, summary.p50_ms,
                       summary.p99_ms);
}

} // namespace lycheegap::load
