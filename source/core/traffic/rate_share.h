#pragma once

#include "configuration.h"
#include "sliding_window.h"

namespace lycheegap::traffic {

/// How strictly a team's rate binds.
struct rate_bounds {
    common::milliseconds window{5000};
    /// Part by which rate and burst may be exceeded.
    double overage{0};
    /// Requests beyond that in a window.
    double slack{0};
};

/// Requests of a team that the whole fleet may pass on in one window.
double fleet_limit(const team& from, const rate_bounds& bounds);

/// Requests of a team that this host passed on.
struct rate_share {
    sliding_window passed;
};

/// Counts a request when this host's `part` (0 to 1) of the team's limit has room.
bool take_rate(rate_share& share, const team& from, const rate_bounds& bounds, double part,
               common::time_point now);

} // namespace lycheegap::traffic
