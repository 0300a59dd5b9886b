#include "rate_share.h"

#include <algorithm>

namespace lycheegap::traffic {

namespace {

// Fraction of the limit that is used. The rest allows for requests that arrive, and count, later than their
// token was taken.
constexpr double usable_limit_fraction = 0.95;
// A bucket that can't hold a whole token would never pass a request of a small team.
constexpr double min_bucket_capacity = 1;
constexpr common::milliseconds max_token_wait{5000};

void refill(rate_bucket& bucket, const rate_limit& limit, common::time_point now) {
    const double elapsed = std::max(0.0, common::seconds_between(bucket.at, now));
    bucket.tokens =
        std::min(std::max(limit.capacity, min_bucket_capacity), bucket.tokens + elapsed * limit.rate);
    bucket.at = now;
}

} // namespace

rate_limit fleet_limit(const team& caller_team, const rate_bounds& bounds) {
    const double factor = (1 + bounds.overage) * usable_limit_fraction;
    return {caller_team.rate * factor, caller_team.burst * factor + bounds.slack * usable_limit_fraction};
}

bool has_token(rate_bucket& bucket, const rate_limit& limit, common::time_point now) {
    refill(bucket, limit, now);
    return bucket.tokens >= 1;
}

bool take_token(rate_bucket& bucket, const rate_limit& limit, common::time_point now) {
    if (!has_token(bucket, limit, now)) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

common::milliseconds until_token(const rate_bucket& bucket, const rate_limit& limit) {
    const double missing = std::max(0.0, 1 - bucket.tokens);
    if (limit.rate <= 0) {
        return max_token_wait;
    }
    const auto pause = std::chrono::duration<double>(missing / limit.rate);
    return std::min(max_token_wait, std::chrono::duration_cast<common::milliseconds>(pause));
}

} // namespace lycheegap::traffic
