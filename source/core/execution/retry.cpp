#include "retry.h"

#include <algorithm>

namespace lycheegap::execution {

namespace {

constexpr int percent = 100;
constexpr int max_doublings = 20;

} // namespace

void deposit_retry(retry_budget& budget, const retry_limits& limits) {
    budget.tokens = std::min(limits.budget_burst, budget.tokens + limits.budget_percent / double{percent});
}

bool try_withdraw_retry(retry_budget& budget) {
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

common::milliseconds retry_pause(const retry_limits& limits, int retry, std::mt19937_64& random) {
    const auto doublings = std::clamp(retry - 1, 0, max_doublings);
    const auto upper_bound = std::min(limits.max_backoff, limits.initial_backoff * (1 << doublings));
    return common::milliseconds(std::uniform_int_distribution<std::int64_t>(0, upper_bound.count())(random));
}

} // namespace lycheegap::execution
