#pragma once

#include "configuration.h"

namespace lycheegap::traffic {

/// Window and tolerance with which teams' rate limits are enforced.
struct rate_bounds {
    common::milliseconds window{5000};
    /// Fraction by which rate and burst may be exceeded.
    double overage{0};
    /// Further requests allowed per window.
    double slack{0};
};

/// Parameters of a token bucket.
struct rate_limit {
    /// Tokens per second.
    double rate{0};
    /// Maximum number of tokens.
    double capacity{0};
};

/// Limit on a team's requests over the whole fleet: any window holds at most `capacity` plus `rate` times its
/// length.
rate_limit fleet_limit(const team& caller_team, const rate_bounds& bounds);

/// Token bucket of a team on one host. It starts empty, because requests passed by an earlier process of this
/// host count in the same window.
struct rate_bucket {
    double tokens{0};
    /// Time of the last refill.
    common::time_point at;
};

/// Refills the bucket and returns whether it holds a token.
bool has_token(rate_bucket& bucket, const rate_limit& limit, common::time_point now);

/// Refills the bucket and takes a token if there is one. `limit` is the bucket's share of the fleet's limit.
bool take_token(rate_bucket& bucket, const rate_limit& limit, common::time_point now);

/// Time until the bucket holds a token, at most 5 s.
common::milliseconds until_token(const rate_bucket& bucket, const rate_limit& limit);

} // namespace lycheegap::traffic
