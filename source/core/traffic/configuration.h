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

/// One service of a route and its share of the route's requests.
struct route_part {
    std::string service;
    double weight{1};
};

/// Which requests go to which service, and what may be done with them.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// May run more than once.
    bool idempotent{false};
    /// Needs no key.
    bool open{false};
    /// Requests for one object run faster on an endpoint that handled it lately.
    bool has_affinity{false};
    common::milliseconds timeout{0};
    /// Answers within this time are worth most.
    common::milliseconds target_latency{0};
    /// Endpoints that one request may be sent to.
    int attempt_limit{1};
    /// 0 is the most urgent.
    int priority{0};
    std::vector<route_part> parts;
    /// Regions that may see the requests; empty allows all.
    std::vector<std::string> regions;
};

struct service {
    std::string name;
    /// Connections that an endpoint takes from all hosts together.
    int connection_limit{0};
    /// How long an endpoint stays cold after a start.
    common::milliseconds cold_time{0};
    /// Requests a second that a cold endpoint takes.
    double cold_rate{0};
};

struct team {
    std::string name;
    int priority{0};
    /// Requests a second over all hosts; 0 sets no limit.
    double rate{0};
    double burst{0};
    std::vector<std::string> regions;
};

/// What a caller may send and how long it may take.
struct caller_limits {
    std::uint32_t head_bytes{16384};
    std::uint64_t body_bytes{67108864};
    common::milliseconds head_time{3000};
    common::milliseconds idle_time{15000};
};

/// A whole configuration. Never changed once it is in force; a newer version replaces it.
struct configuration {
    std::int64_t version{0};
    std::vector<route> routes;
    std::map<std::string, service, std::less<>> services;
    /// With no team at all, requests need no key.
    std::vector<team> teams;
    /// Index into `teams` by the digest of a key.
    std::unordered_map<std::string, std::size_t> team_of_key;
    caller_limits limits;
};

/// Route of the host with the longest prefix that begins the path, or null.
const route* find_route(const configuration& config, std::string_view host, std::string_view path);

/// Team that holds the key, or null.
const team* find_team(const configuration& config, std::string_view key);

/// Service by name, or null.
const service* find_service(const configuration& config, std::string_view name);

/// Smaller is more urgent: the team's priority comes before the route's.
int urgency_of(const route& to, const team* from);

/// Regions that both lists allow; an empty list allows all. Empty optional when none is left.
std::optional<std::vector<std::string>> common_regions(const std::vector<std::string>& a,
                                                       const std::vector<std::string>& b);

} // namespace lycheegap::traffic
