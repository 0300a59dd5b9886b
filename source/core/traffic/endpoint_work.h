#pragma once

#include <cstdint>
#include <vector>

#include "core/common/clock.h"

namespace lycheegap::traffic {

/// A request of this host at an endpoint, with what was expected of it when it was placed.
struct own_request {
    std::uint64_t id{0};
    common::time_point expected_start;
    /// Mean and standard deviation of its work in ms.
    double run_ms{0};
    double deviation_ms{0};
};

/// Work and speed of an endpoint as seen by this host.
struct endpoint_work {
    /// Requests that have not ended.
    std::vector<own_request> own;
    std::uint64_t last_id{0};
    /// Slots by the last load report; 0 if none stated them.
    int reported_slots{0};
    /// Time that work takes on the endpoint's machine relative to the usual time, by the last load report.
    double reported_pace{1};
    common::time_point pace_at;
    /// Logarithm of measured relative to expected times, smoothed, and when it was measured last.
    double speed_log{0};
    common::time_point speed_at;
};

/// Measurements over all endpoints of one service in one region.
struct group_load {
    /// Requests of other hosts at an endpoint by the load reports, smoothed; and when one arrived last.
    double external{0};
    common::time_point reported_at;
    /// Running and waiting requests per slot by the load reports, smoothed.
    double utilization{0};
    /// Mean work of the answered requests in ms; 0 before the first one.
    double run_ms{0};
    /// Round trip time to the endpoints in ms; negative before the first new connection.
    double round_trip_ms{-1};
};

} // namespace lycheegap::traffic
