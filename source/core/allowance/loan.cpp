#include "loan.h"

#include <algorithm>
#include <cmath>

namespace lycheegap::allowance {

common::time_point lender_deadline(common::time_point now, common::milliseconds length) {
    // A slow clock at the borrower and a fast one here both shorten the lender's view of the loan.
    const double stretched = static_cast<double>(length.count()) * (1 + 3 * clock_drift);
    return now + common::milliseconds(static_cast<std::int64_t>(std::ceil(stretched)));
}

int most_held(const team_limits& limits, const loan_policy& policy) {
    const double whole = std::floor(limits.burst);
    const double share = std::floor(limits.burst * policy.host_share);
    return static_cast<int>(std::min(whole, std::max(1.0, share)));
}

} // namespace lycheegap::allowance
