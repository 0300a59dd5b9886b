#include "retry_share.h"

#include <algorithm>

namespace lycheegap::traffic {

namespace {

// Fraction of the limit that is used. The rest allows for sliding windows: a request sent late in one window
// may arrive in the next.
constexpr double usable_limit_fraction = 0.8;

double retries_allowed(retry_share& share, const retry_limit& limit, common::time_point now) {
    const auto requests = static_cast<double>(count_events(share.requests, now, limit.window));
    const auto slack = limit.hosts > 0 ? limit.slack / static_cast<double>(limit.hosts) : 0;
    return (requests * limit.ratio + slack) * usable_limit_fraction;
}

} // namespace

void note_request(retry_share& share, common::time_point now) {
    share.requests.event_times.push_back(now);
}

double request_rate(retry_share& share, const retry_limit& limit, common::time_point now) {
    return static_cast<double>(count_events(share.requests, now, limit.window)) /
           common::seconds_between(now, now + limit.window);
}

bool take_retry(retry_share& share, const retry_limit& limit, common::time_point now) {
    return try_record_event(share.retries, now, limit.window, retries_allowed(share, limit, now));
}

double retries_left(retry_share& share, const retry_limit& limit, common::time_point now) {
    const auto used = static_cast<double>(count_events(share.retries, now, limit.window));
    return std::max(0.0, retries_allowed(share, limit, now) - used);
}

bool has_spare_retry_budget(retry_share& share, const retry_limit& limit, common::time_point now) {
    const auto used = static_cast<double>(count_events(share.retries, now, limit.window));
    return used * 2 < retries_allowed(share, limit, now);
}

} // namespace lycheegap::traffic
