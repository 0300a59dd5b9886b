#pragma once

#include <cstdint>

#include "core/catalog/catalog.h"
#include "core/common/clock.h"

namespace lycheegap::host {

struct host_state;

enum class spend_result : std::uint8_t {
    granted,
    /// The team is above its rate.
    over_rate,
    /// The home gave no answer.
    home_unreachable,
};

/// Spends one token of the team, here or at its home host.
spend_result spend_token(host_state& host, const catalog::team& team, common::time_point deadline);

/// Grants tokens as the home host; zero when there are not enough.
double grant_tokens(host_state& host, const catalog::team& team, double tokens, common::time_point now);

} // namespace lycheegap::host
