#include "loan.h"

#include <algorithm>
#include <cmath>

namespace lycheegap::allowance {

common::time_point lender_deadline(common::time_point now, common::milliseconds length) {
    // Covers a slow clock at the borrower, whose deadline then comes late, together with a fast one here,
    // whose deadline comes early.
    const double stretched = static_cast<double>(length.count()) * (1 + 3 * max_clock_drift);
    return now + common::milliseconds(static_cast<std::int64_t>(std::ceil(stretched)));
}

int max_held_tokens(const team_limits& limits, const loan_policy& policy) {
    const double whole_burst = std::floor(limits.burst);
    const double share = std::floor(limits.burst * policy.host_share);
    return static_cast<int>(std::min(whole_burst, std::max(1.0, share)));
}

} // namespace lycheegap::allowance
