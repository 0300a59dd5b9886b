#include "endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace lycheegap::traffic {

namespace {

// Time constant of the counts.
constexpr double memory_s = 3;
// Served requests that are assumed beforehand, so that a single shed or failure doesn't decide.
constexpr double assumed_served = 2;
// A failure costs a caller its time or an unknown outcome, a shed only a retry.
constexpr double failure_weight = 2;

double remaining_part(const endpoint_health& health, common::time_point now) {
    return std::exp(-std::max(0.0, common::seconds_between(health.at, now)) / memory_s);
}

} // namespace

void note_outcome(endpoint_health& health, endpoint_outcome outcome, common::time_point now) {
    const double part = remaining_part(health, now);
    health = {.served = health.served * part,
              .shed = health.shed * part,
              .failed = health.failed * part,
              .at = std::max(health.at, now)};
    switch (outcome) {
    case endpoint_outcome::served:
        ++health.served;
        break;
    case endpoint_outcome::shed:
        ++health.shed;
        break;
    case endpoint_outcome::failed:
        ++health.failed;
        break;
    }
}

double usable_share(const endpoint_health& health, common::time_point now) {
    const double part = remaining_part(health, now);
    const double good = health.served * part + assumed_served;
    const double bad = (health.shed + health.failed * failure_weight) * part;
    return std::max(min_usable_share, good / (good + bad));
}

} // namespace lycheegap::traffic
