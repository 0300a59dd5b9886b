#include "token_bucket.h"

#include <algorithm>

namespace lycheegap::allowance {

token_bucket make_empty_bucket(double rate, double burst, common::time_point now) {
    return {rate, burst, 0, now};
}

void refill(token_bucket& bucket, common::time_point now) {
    if (now <= bucket.refilled_at) {
        return;
    }
    const double gained = bucket.rate * common::seconds_between(bucket.refilled_at, now);
    bucket.tokens = std::min(bucket.burst, bucket.tokens + gained);
    bucket.refilled_at = now;
}

void set_limits(token_bucket& bucket, double rate, double burst, common::time_point now) {
    refill(bucket, now);
    bucket.rate = rate;
    bucket.burst = burst;
    bucket.tokens = std::min(bucket.tokens, burst);
}

bool take(token_bucket& bucket, double tokens, common::time_point now) {
    refill(bucket, now);
    if (bucket.tokens < tokens) {
        return false;
    }
    bucket.tokens -= tokens;
    return true;
}

} // namespace lycheegap::allowance
