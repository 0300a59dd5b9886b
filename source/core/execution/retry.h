#pragma once

#include <random>

#include "core/common/clock.h"

namespace lycheegap::execution {

/// Retry budget and backoff settings.
struct retry_limits {
    /// Retries earned by each first attempt, in percent of a retry.
    int budget_percent{20};
    /// Most retries that the budget saves up.
    double budget_burst{10};
    /// Upper bound of the pause before the first retry; it doubles with each further retry.
    common::milliseconds initial_backoff{25};
    /// Ceiling of that upper bound.
    common::milliseconds max_backoff{1000};
};

/// Token bucket of the retries that this host may make, filled by its first attempts.
struct retry_budget {
    /// One retry costs 1.
    double tokens{0};
};

/// Adds what a first attempt earns, up to the burst.
void deposit_retry(retry_budget& budget, const retry_limits& limits);

/// Takes one retry; false when less than one is left.
bool try_withdraw_retry(retry_budget& budget);

/// Random pause before retry number `retry`, counted from 1: exponential backoff with full jitter, uniform
/// between 0 and the upper bound for that retry.
common::milliseconds retry_pause(const retry_limits& limits, int retry, std::mt19937_64& random);

} // namespace lycheegap::execution
