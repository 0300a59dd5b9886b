#pragma once

#include <random>

#include "core/common/clock.h"

namespace lycheegap::execution {

struct retry_limits {
    /// Retries for each first attempt, in percent.
    int budget_percent{20};
    /// Retries that may come at once after a quiet time.
    double budget_burst{10};
    /// The longest pause before the first retry; it doubles with each further one.
    common::milliseconds first_pause{25};
    common::milliseconds longest_pause{1000};
};

/// Retries that this host may still make, earned by first attempts.
struct retry_budget {
    double saved{0};
};

/// Earns the share of a first attempt.
void earn_retry(retry_budget& budget, const retry_limits& limits);

/// Spends one retry; false when none is left.
bool spend_retry(retry_budget& budget);

/// Pause before retry number `retry`, from 1 on: anywhere between nothing and the doubled pause (full jitter)
/// under the ceiling.
common::milliseconds retry_pause(const retry_limits& limits, int retry, std::mt19937_64& random);

} // namespace lycheegap::execution
