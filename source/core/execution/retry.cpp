#include "retry.h"

#include <algorithm>

namespace lycheegap::execution {

namespace {

constexpr int percent = 100;
constexpr int most_doublings = 20;

} // namespace

void earn_retry(retry_budget& budget, const retry_limits& limits) {
    budget.saved = std::min(limits.budget_burst, budget.saved + limits.budget_percent / double{percent});
}

bool spend_retry(retry_budget& budget) {
    if (budget.saved < 1) {
        return false;
    }
    budget.saved -= 1;
    return true;
}

common::milliseconds retry_pause(const retry_limits& limits, int retry, std::mt19937_64& random) {
    const auto doublings = std::clamp(retry - 1, 0, most_doublings);
    const auto widest = std::min(limits.longest_pause, limits.first_pause * (1 << doublings));
    return common::milliseconds(std::uniform_int_distribution<std::int64_t>(0, widest.count())(random));
}

} // namespace lycheegap::execution
