#pragma once

#include <cstdint>

#include "core/common/clock.h"

namespace lycheegap::traffic {

/// What one attempt says about its endpoint.
enum class endpoint_outcome : std::uint8_t {
    served,
    /// Turned away; it has not run.
    shed,
    /// Answered with a server error, or the answer was lost.
    failed,
};

/// Recent outcomes of an endpoint. The counts decay exponentially with time.
struct endpoint_health {
    double served{0};
    double shed{0};
    double failed{0};
    /// When the counts were brought up to date last.
    common::time_point at;
};

void note_outcome(endpoint_health& health, endpoint_outcome outcome, common::time_point now);

/// Share of the requests that the endpoint would otherwise get that it should get now: 1 without recent sheds
/// and failures, never less than `min_usable_share`, so that its recovery is noticed.
double usable_share(const endpoint_health& health, common::time_point now);

inline constexpr double min_usable_share = 0.05;

} // namespace lycheegap::traffic
