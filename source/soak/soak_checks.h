#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lycheegap::soak {

/// One request of a caller, as the caller saw it.
struct call_record {
    std::string id;
    std::size_t team{0};
    /// Sent on a route of kind "safe"; others must run at most once.
    bool is_safe{true};
    /// Sent to the endpoint that cuts off responses.
    bool is_upload{false};
    std::string host;
    std::int64_t sent_ms{0};
    std::int64_t ended_ms{0};
    /// Response status; 0 when the connection ended without a complete response, or none came in time.
    int status{0};
    /// Seal and body of the response belong to this request.
    bool response_matches{false};
};

/// One run of a request, from the log of an endpoint.
struct run_record {
    std::string id;
    std::string endpoint;
    std::string team;
    std::int64_t at_ms{0};
    /// The request carried an Authorization header.
    bool key_seen{false};
};

/// A violated guarantee. The text of the guarantee goes into reports.
struct finding {
    std::string guarantee;
    std::string detail;
};

/// Upper bound on the runs of one team in any window of time.
struct rate_bound {
    std::string team;
    std::int64_t window_ms{5000};
    double max_runs{0};
};

/// Reads the runs from the log of an endpoint.
std::vector<run_record> parse_runs(std::string_view endpoint, std::string_view log);
/// Reads the requests that reached the endpoint from its log: the runs, and those that it turned away.
std::vector<run_record> parse_arrivals(std::string_view endpoint, std::string_view log);

/// Largest number of runs in any window of time.
std::size_t most_runs_in_window(std::span<const run_record> runs, std::int64_t window_ms);

/// Compares the records of callers and endpoints. Requests that are not safe run at most once, and not at all
/// if they were refused as not run; a 200 response belongs to its request and to a run; valid requests get no
/// 401 or 404; endpoints see the right team and no API key.
std::vector<finding> check_calls(std::span<const call_record> calls, std::span<const run_record> runs);
/// Value of a counter in the Prometheus text format; 0 if the text does not have it.
std::uint64_t read_counter(std::string_view text, std::string_view name);
/// Checks that the hosts sent each other no more bytes of the store than versions of a large configuration
/// call for.
std::vector<finding> check_replicated_bytes(std::uint64_t bytes, std::uint64_t hosts, std::uint64_t versions);

/// Time in which an endpoint named a limit and nothing disturbed it or the way to it.
struct limit_period {
    std::string endpoint;
    /// Requests per second from all hosts together.
    double per_s{0};
    std::int64_t from_ms{0};
    std::int64_t to_ms{0};
};

/// Time in which a host was down, paused or cut off. `host` is its request address.
struct host_disturbance {
    std::string host;
    std::int64_t from_ms{0};
    std::int64_t to_ms{0};
};

/// Checks that no endpoint got more than one and a half times what its limit allows, and five requests, in 4
/// s that begin 4 s after it first named it. Requests count from hosts that had passed on such an answer half
/// a second before, and were not disturbed within the 4 s before.
std::vector<finding> check_limits(std::span<const run_record> arrivals, std::span<const call_record> calls,
                                  std::span<const limit_period> limits,
                                  std::span<const host_disturbance> disturbances);

/// Checks that no window of time holds more runs of the team than the bound allows.
std::vector<finding> check_rate(std::span<const run_record> runs, const rate_bound& bound);

} // namespace lycheegap::soak
