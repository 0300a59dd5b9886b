#pragma once

#include "core/common/clock.h"

namespace lycheegap::allowance {

/// A team's rate and burst: at most `burst` tokens, refilled with `rate` a second.
struct token_bucket {
    /// Tokens per second.
    double rate{0};
    double burst{0};
    double tokens{0};
    /// Moment up to which refills are counted.
    common::time_point refilled_at;
};

/// An empty bucket that fills from `now` on.
token_bucket make_empty_bucket(double rate, double burst, common::time_point now);

/// Counts the refill up to `now`. A clock that seems to go back changes nothing.
void refill(token_bucket& bucket, common::time_point now);

/// Changes the limits; tokens above the new burst are dropped.
void set_limits(token_bucket& bucket, double rate, double burst, common::time_point now);

/// Takes `tokens` when all of them are there.
bool take(token_bucket& bucket, double tokens, common::time_point now);

} // namespace lycheegap::allowance
