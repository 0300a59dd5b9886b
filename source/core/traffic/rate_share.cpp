#include "rate_share.h"

#include <algorithm>

namespace lycheegap::traffic {

namespace {

// Part of the limit that is used: a request counts when it arrives, which may be later than it was counted
// here.
constexpr double limit_use = 0.95;
// A bucket holds a whole token in any case, or a small team would never pass.
constexpr double least_capacity = 1;
constexpr common::milliseconds longest_pause{5000};

void refill(rate_bucket& bucket, const rate_limit& limit, common::time_point now) {
    const double elapsed = std::max(0.0, common::seconds_between(bucket.at, now));
    bucket.tokens = std::min(std::max(limit.capacity, least_capacity), bucket.tokens + elapsed * limit.rate);
    bucket.at = now;
}

} // namespace

rate_limit fleet_limit(const team& from, const rate_bounds& bounds) {
    const double factor = (1 + bounds.overage) * limit_use;
    return {from.rate * factor, from.burst * factor + bounds.slack * limit_use};
}

bool take_token(rate_bucket& bucket, const rate_limit& limit, common::time_point now) {
    refill(bucket, limit, now);
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

common::milliseconds until_token(const rate_bucket& bucket, const rate_limit& limit) {
    const double missing = std::max(0.0, 1 - bucket.tokens);
    if (limit.rate <= 0) {
        return longest_pause;
    }
    const auto pause = std::chrono::duration<double>(missing / limit.rate);
    return std::min(longest_pause, std::chrono::duration_cast<common::milliseconds>(pause));
}

} // namespace lycheegap::traffic
