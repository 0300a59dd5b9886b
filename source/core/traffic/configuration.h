#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/common/clock.h"

namespace lycheegap::traffic {

/// A service that a route forwards to, weighted against the route's other services.
struct weighted_service {
    std::string service;
    /// Relative to the sum of the route's weights.
    double weight{1};
};

/// Maps requests by host and path prefix to services, and says how they are handled.
struct route {
    std::string name;
    /// Host header without the port.
    std::string host;
    /// Path prefix; begins and ends with a slash.
    std::string prefix;
    /// Requests may be retried after they may have run.
    bool idempotent{false};
    /// Requests need no API key.
    bool open{false};
    /// Requests carry an object key: an endpoint that recently served the same object answers faster.
    bool has_affinity{false};
    /// Upper bound on the time to answer a request; 0 sets none.
    common::milliseconds timeout{0};
    /// Response time that callers expect; 0 if none is stated.
    common::milliseconds target_latency{0};
    /// Maximum number of endpoints that one request is sent to.
    int attempt_limit{1};
    /// 0 is the most urgent.
    int priority{0};
    std::vector<weighted_service> parts;
    /// Regions whose endpoints may serve the requests; empty allows all.
    std::vector<std::string> regions;
};

/// A back-end service and the limits of each of its endpoints.
struct service {
    std::string name;
    /// Connections that an endpoint accepts from all hosts together.
    int connection_limit{0};
    /// How long an endpoint stays cold, with reduced capacity, after its start.
    common::milliseconds cold_time{0};
    /// Requests per second that a cold endpoint accepts from all hosts together.
    double cold_rate{0};
};

/// A group of callers that share API keys, a rate limit and a priority.
struct team {
    std::string name;
    /// 0 is the most urgent.
    int priority{0};
    /// Requests per second over all hosts; 0 means no limit.
    double rate{0};
    /// Requests beyond the rate that may arrive at once.
    double burst{0};
    /// Regions whose endpoints may serve the requests; empty allows all.
    std::vector<std::string> regions;
};

/// Limits on callers' requests and connections.
struct caller_limits {
    std::uint32_t head_bytes{16384};
    std::uint64_t body_bytes{67108864};
    /// Time to receive the request's headers.
    common::milliseconds head_time{3000};
    /// Idle time limit of a caller's connection.
    common::milliseconds idle_time{15000};
};

/// A complete configuration. Immutable once applied; a newer version replaces it as a whole.
struct configuration {
    std::int64_t version{0};
    std::vector<route> routes;
    std::map<std::string, service, std::less<>> services;
    /// If empty, no request needs an API key.
    std::vector<team> teams;
    /// Digest of an API key -> index into `teams`.
    std::unordered_map<std::string, std::size_t> team_of_key;
    caller_limits limits;
};

/// Returns the route of `host` (a port is ignored) with the longest prefix of `path`, or null.
const route* find_route(const configuration& config, std::string_view host, std::string_view path);

/// Returns the team that the API key belongs to, or null.
const team* find_team(const configuration& config, std::string_view key);

/// Returns the service with this name, or null.
const service* find_service(const configuration& config, std::string_view name);

/// Combines the priorities of team and route, the team's first. A lower rank is more urgent; null stands for
/// a team with priority 0.
int priority_rank(const route& target_route, const team* caller_team);

/// Intersects two lists of allowed regions, where an empty list allows all. Returns nullopt when no region is
/// allowed by both.
std::optional<std::vector<std::string>> common_regions(const std::vector<std::string>& a,
                                                       const std::vector<std::string>& b);

} // namespace lycheegap::traffic
