#pragma once

#include <cstdint>

#include "core/catalog/catalog.h"
#include "core/common/clock.h"

namespace lycheegap::host {

struct host_state;

/// Result of spending one token of a team.
enum class spend_result : std::uint8_t {
    granted,
    /// The team has no token left, or is no longer in the catalog.
    over_rate,
    /// The team's home gave no answer in time or may not act as home yet, too many requests wait for it
    /// already, or this host's authority has expired.
    home_unreachable,
};

/// Spends one token of the team. The team's home, the host that keeps its token bucket, spends from the
/// bucket; any other host spends from its loans. Without a token on loan it asks the home and blocks until
/// the answer, at most for `home_timeout` and until `deadline`.
spend_result spend_token(host_state& host, const catalog::team& team, common::time_point deadline);

} // namespace lycheegap::host
