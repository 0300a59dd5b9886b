#include "retry_share.h"

#include <algorithm>

namespace lycheegap::traffic {

namespace {

// Part of the limit that is used: windows slide, and a request may be sent late in one and arrive in the
// next.
constexpr double limit_use = 0.8;

double repeats_allowed(retry_share& share, const retry_limit& limit, common::time_point now) {
    const auto requests = static_cast<double>(count_in(share.requests, now, limit.window));
    const auto slack = limit.hosts > 0 ? limit.slack / static_cast<double>(limit.hosts) : 0;
    return (requests * limit.ratio + slack) * limit_use;
}

} // namespace

void note_request(retry_share& share, common::time_point now) {
    share.requests.moments.push_back(now);
}

bool take_repeat(retry_share& share, const retry_limit& limit, common::time_point now) {
    return take_within(share.repeats, now, limit.window, repeats_allowed(share, limit, now));
}

bool has_repeat_room(retry_share& share, const retry_limit& limit, common::time_point now) {
    const auto used = static_cast<double>(count_in(share.repeats, now, limit.window));
    return used * 2 < repeats_allowed(share, limit, now);
}

} // namespace lycheegap::traffic
