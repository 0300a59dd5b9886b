#include "retry_share.h"

#include <algorithm>

namespace lycheegap::traffic {

namespace {

// Part of the limit that is used: windows slide, and a request may be sent late in one and arrive in the
// next.
constexpr double limit_use = 0.8;

} // namespace

void note_request(retry_share& share, common::time_point now) {
    share.requests.moments.push_back(now);
}

bool take_repeat(retry_share& share, const retry_limit& limit, common::time_point now) {
    const auto requests = static_cast<double>(count_in(share.requests, now, limit.window));
    const auto slack = limit.slack / static_cast<double>(std::max<std::size_t>(limit.hosts, 1));
    return take_within(share.repeats, now, limit.window, (requests * limit.ratio + slack) * limit_use);
}

} // namespace lycheegap::traffic
