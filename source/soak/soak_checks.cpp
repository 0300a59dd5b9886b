#include "soak_checks.h"

#include <algorithm>
#include <charconv>
#include <map>

#include <fmt/format.h>

#include "soak_fleet.h"

namespace lycheegap::soak {

namespace {

// Users' bound on requests to an endpoint with a limit.
constexpr std::int64_t limit_window_ms = 4000;
constexpr std::int64_t stable_ms = 4000;
constexpr std::int64_t told_before_ms = 500;
constexpr double limit_factor = 1.5;
constexpr double limit_slack = 5;

using runs_by_id = std::map<std::string_view, std::vector<const run_record*>>;

constexpr int status_ok = 200;
// What a relay with a link of 10 Mbit/s can send each host of a third of 870 within the 11 s for a change.
constexpr std::uint64_t max_bytes_per_version = 10'000'000 / 8 * 11 / (870 / 3);

/// Value of " key=value" in a log line; empty without it.
std::string_view value_of(std::string_view line, std::string_view key) {
    const auto marker = fmt::format(" {}=", key);
    const auto start = line.find(marker);
    if (start == std::string_view::npos) {
        return {};
    }
    const auto rest = line.substr(start + marker.size());
    return rest.substr(0, rest.find(' '));
}

/// Whether a response with this status guarantees that the request has not run and will not run.
bool guarantees_not_run(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

void check_call(const call_record& it, std::span<const run_record* const> runs,
                std::vector<finding>& findings) {
    const auto detail = fmt::format("request={} host={} status={} runs={} sent_ms={}", it.id, it.host,
                                    it.status, runs.size(), it.sent_ms);
    if (!it.is_safe && runs.size() > 1) {
        findings.push_back({"a request that is not safe runs at most once", detail});
    }
    if (!it.is_safe && guarantees_not_run(it.status) && !runs.empty()) {
        findings.push_back({"a refused request that is not safe has not run", detail});
    }
    if (it.status == status_ok && (!it.response_matches || runs.empty())) {
        findings.push_back({"a 200 response belongs to its request and to a run", detail});
    }
    if (it.status == 401 || it.status == 404) {
        findings.push_back({"a valid request gets no 401 or 404", detail});
    }
    const auto expected = team_name(it.team);
    for (const auto* run : runs) {
        if (run->team != expected || run->key_seen) {
            findings.push_back({"an endpoint sees the right team and no API key", detail});
        }
    }
}

/// Reads the log lines of an endpoint about requests that `is_counted` accepts.
std::vector<run_record> parse_lines(std::string_view endpoint, std::string_view log,
                                    bool (*is_counted)(std::string_view line)) {
    std::vector<run_record> runs;
    while (!log.empty()) {
        const auto end = std::min(log.find('\n'), log.size());
        const auto line = log.substr(0, end);
        log.remove_prefix(std::min(end + 1, log.size()));
        if (!is_counted(line)) {
            continue;
        }
        run_record run;
        run.id = value_of(line, "request");
        run.endpoint = endpoint;
        run.team = value_of(line, "team");
        run.at_ms = static_cast<std::int64_t>(transport::parse_uint_or(value_of(line, "unix_ms"), 0));
        run.key_seen = value_of(line, "key_seen") == "true";
        runs.push_back(std::move(run));
    }
    return runs;
}

bool is_run(std::string_view line) {
    return line.find("event=ran ") != std::string_view::npos;
}

bool is_arrival(std::string_view line) {
    return is_run(line) || line.find("event=turned_away ") != std::string_view::npos;
}

} // namespace

std::vector<run_record> parse_runs(std::string_view endpoint, std::string_view log) {
    return parse_lines(endpoint, log, &is_run);
}

std::vector<run_record> parse_arrivals(std::string_view endpoint, std::string_view log) {
    return parse_lines(endpoint, log, &is_arrival);
}

std::size_t most_runs_in_window(std::span<const run_record> runs, std::int64_t window_ms) {
    std::vector<std::int64_t> times_ms;
    for (const auto& it : runs) {
        times_ms.push_back(it.at_ms);
    }
    std::sort(times_ms.begin(), times_ms.end());
    std::size_t first = 0;
    std::size_t most = 0;
    for (std::size_t n = 0; n < times_ms.size(); ++n) {
        while (times_ms[n] - times_ms[first] >= window_ms) {
            ++first;
        }
        most = std::max(most, n - first + 1);
    }
    return most;
}

std::vector<finding> check_calls(std::span<const call_record> calls, std::span<const run_record> runs) {
    runs_by_id by_id;
    for (const auto& it : runs) {
        by_id[it.id].push_back(&it);
    }
    std::vector<finding> findings;
    for (const auto& it : calls) {
        check_call(it, by_id[it.id], findings);
    }
    return findings;
}

std::vector<finding> check_rate(std::span<const run_record> runs, const rate_bound& bound) {
    std::vector<run_record> of_team;
    std::copy_if(runs.begin(), runs.end(), std::back_inserter(of_team),
                 [&](const auto& it) { return it.team == bound.team; });
    const auto max_in_window = most_runs_in_window(of_team, bound.window_ms);
    if (static_cast<double>(max_in_window) <= bound.max_runs) {
        return {};
    }
    return {{"a team stays within its rate over the whole fleet",
             fmt::format("team={} runs={} max={}", bound.team, max_in_window, bound.max_runs)}};
}

namespace {

/// Requests that reached one endpoint while it named a limit, with the calls that they belong to.
struct limited_arrival {
    run_record arrival;
    const call_record* call{nullptr};
};

/// Whether the host of the arrival was told of the limit in time, and nothing excuses it.
bool counts_against_limit(const limited_arrival& it, std::span<const limited_arrival> all,
                          std::span<const host_disturbance> disturbances) {
    std::int64_t undisturbed_from_ms = 0;
    for (const auto& one : disturbances) {
        if (one.host == it.call->host && one.from_ms <= it.arrival.at_ms) {
            undisturbed_from_ms = std::max(undisturbed_from_ms, one.to_ms);
        }
    }
    if (undisturbed_from_ms != 0 && it.arrival.at_ms < undisturbed_from_ms + stable_ms) {
        return false;
    }
    return std::any_of(all.begin(), all.end(), [&](const limited_arrival& told) {
        return told.call->host == it.call->host && told.call->status == status_ok &&
               told.call->ended_ms >= undisturbed_from_ms &&
               told.call->ended_ms + told_before_ms <= it.arrival.at_ms;
    });
}

} // namespace

std::vector<finding> check_limits(std::span<const run_record> arrivals, std::span<const call_record> calls,
                                  std::span<const limit_period> limits,
                                  std::span<const host_disturbance> disturbances) {
    std::map<std::string_view, const call_record*> call_of;
    for (const auto& it : calls) {
        call_of[it.id] = &it;
    }
    std::vector<finding> findings;
    for (const auto& limit : limits) {
        std::vector<limited_arrival> all;
        for (const auto& it : arrivals) {
            const auto call = call_of.find(it.id);
            if (it.endpoint == limit.endpoint && it.at_ms >= limit.from_ms && it.at_ms < limit.to_ms &&
                call != call_of.end()) {
                all.push_back({it, call->second});
            }
        }
        std::vector<run_record> counted;
        for (const auto& it : all) {
            if (it.arrival.at_ms >= limit.from_ms + stable_ms &&
                counts_against_limit(it, all, disturbances)) {
                counted.push_back(it.arrival);
            }
        }
        const auto most = most_runs_in_window(counted, limit_window_ms);
        const double allowed =
            limit_factor * limit.per_s * static_cast<double>(limit_window_ms) / 1000 + limit_slack;
        if (static_cast<double>(most) > allowed) {
            findings.push_back({"hosts together keep the limit that an endpoint names",
                                fmt::format("{} limit={} requests={} allowed={}", limit.endpoint, limit.per_s,
                                            most, allowed)});
        }
    }
    return findings;
}

std::uint64_t read_counter(std::string_view text, std::string_view name) {
    const auto marker = fmt::format("lycheegap_{} ", name);
    for (auto at = text.find(marker); at != std::string_view::npos; at = text.find(marker, at + 1)) {
        if (at == 0 || text[at - 1] == '\n') {
            std::uint64_t value = 0;
            std::from_chars(text.data() + at + marker.size(), text.data() + text.size(), value);
            return value;
        }
    }
    return 0;
}

std::vector<finding> check_replicated_bytes(std::uint64_t bytes, std::uint64_t hosts,
                                            std::uint64_t versions) {
    const auto allowed = max_bytes_per_version * hosts * versions;
    if (bytes <= allowed) {
        return {};
    }
    return {{"hosts send each other what changed in the configuration",
             fmt::format("bytes={} allowed={}", bytes, allowed)}};
}

} // namespace lycheegap::soak
