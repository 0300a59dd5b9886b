#include "rate_share.h"

namespace lycheegap::traffic {

namespace {

// Part of the limit that is used: a request counts when it arrives, which may be later than it was counted here.
constexpr double limit_use = 0.95;

} // namespace

double fleet_limit(const team& from, const rate_bounds& bounds) {
    const double window_s = std::chrono::duration<double>(bounds.window).count();
    return (from.rate * window_s + from.burst) * (1 + bounds.overage) + bounds.slack;
}

bool take_rate(rate_share& share, const team& from, const rate_bounds& bounds, double part,
               common::time_point now) {
    if (from.rate <= 0) {
        return true;
    }
    return take_within(share.passed, now, bounds.window, fleet_limit(from, bounds) * limit_use * part);
}

} // namespace lycheegap::traffic
