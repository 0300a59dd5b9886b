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
    /// The home gave no answer, or no host may act as home at this moment.
    home_unreachable,
};

/// Spends one token of the team: from the account when this host is home, else from a loan. Without a loan it
/// asks the home and waits, no longer than home_timeout and `deadline`, before it refuses.
spend_result spend_token(host_state& host, const catalog::team& team, common::time_point deadline);

} // namespace lycheegap::host
