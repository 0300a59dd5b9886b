#pragma once

#include "configuration.h"

namespace lycheegap::traffic {

/// How strictly a team's rate binds.
struct rate_bounds {
    common::milliseconds window{5000};
    /// Part by which rate and burst may be exceeded.
    double overage{0};
    /// Requests beyond that in a window.
    double slack{0};
};

/// Tokens a second, and tokens that a bucket holds.
struct rate_limit {
    double rate{0};
    double capacity{0};
};

/// What the whole fleet may pass on for a team: in any window at most the capacity and the rate times the
/// window.
rate_limit fleet_limit(const team& from, const rate_bounds& bounds);

/// Tokens of a team on one host. It starts empty: what an earlier process of this host passed on counts in
/// the same window.
struct rate_bucket {
    double tokens{0};
    common::time_point at;
};

/// Takes a token when there is one. `limit` is this host's part of the fleet's.
bool take_token(rate_bucket& bucket, const rate_limit& limit, common::time_point now);

/// Time until there is a token.
common::milliseconds until_token(const rate_bucket& bucket, const rate_limit& limit);

} // namespace lycheegap::traffic
