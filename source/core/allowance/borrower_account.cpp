#include "borrower_account.h"

#include <algorithm>
#include <cmath>

namespace lycheegap::allowance {

namespace {

constexpr double demand_window_s = 1.0;
constexpr double round_trip_weight = 0.2;

/// Time after a failed question in which none is asked ahead of need.
constexpr auto retry_wait = common::milliseconds(200);

/// Loans are renewed once this part of their length has passed.
constexpr double renewal_part = 0.5;

bool has_ended(const held_loan& loan, common::time_point now) {
    return loan.deadline <= now;
}

void give_back(borrower_account& account, int surplus, common::time_point now) {
    for (auto& it : account.loans) {
        if (has_ended(it, now)) {
            continue;
        }
        const int part = std::clamp(surplus, 0, it.left);
        it.left -= part;
        it.returned += part;
        surplus -= part;
    }
}

bool has_unreported(const borrower_account& account) {
    return std::any_of(account.loans.begin(), account.loans.end(),
                       [](const held_loan& it) { return it.left == 0; });
}

bool ends_soon(const borrower_account& account, const loan_policy& policy, common::time_point now) {
    const double rest = static_cast<double>(policy.length.count()) * (1 - renewal_part);
    const auto soon = now + common::milliseconds(static_cast<std::int64_t>(rest));
    return std::any_of(account.loans.begin(), account.loans.end(),
                       [soon](const held_loan& it) { return it.left > 0 && it.deadline <= soon; });
}

/// Loans whose end the home has counted need no further report.
void drop_reported(borrower_account& account) {
    const auto is_counted = [&](const held_loan& loan) {
        return loan.left == 0 && std::any_of(account.asked_reports.begin(), account.asked_reports.end(),
                                             [&](const loan_report& it) {
                                                 return it.id == loan.id && it.spent == loan.spent &&
                                                        it.returned == loan.returned;
                                             });
    };
    std::erase_if(account.loans, is_counted);
}

void end_question(borrower_account& account) {
    account.asking = false;
    account.asked_reports.clear();
}

} // namespace

void count_demand(borrower_account& account, common::time_point now) {
    account.demand = demand_now(account, now) + 1 / demand_window_s;
    account.demand_at = now;
}

double demand_now(const borrower_account& account, common::time_point now) {
    const double passed = std::max(0.0, common::seconds_between(account.demand_at, now));
    return account.demand * std::exp(-passed / demand_window_s);
}

bool spend_held(borrower_account& account, common::time_point now) {
    for (auto& it : account.loans) {
        if (it.left > 0 && !has_ended(it, now)) {
            --it.left;
            ++it.spent;
            return true;
        }
    }
    return false;
}

int held_tokens(const borrower_account& account, common::time_point now) {
    int held = 0;
    for (const auto& it : account.loans) {
        held += has_ended(it, now) ? 0 : it.left;
    }
    return held;
}

int stock_target(const borrower_account& account, const team_limits& limits, const loan_policy& policy,
                 common::time_point now) {
    const double demand = demand_now(account, now);
    // Enough for what comes during two questions; nothing for a team that sends nothing here.
    const double target = std::ceil(demand * account.round_trip * 2 + demand / (demand + 1));
    return std::min(static_cast<int>(target), most_held(limits, policy));
}

void keep_within(borrower_account& account, const team_limits& limits, common::time_point now) {
    std::erase_if(account.loans, [now](const held_loan& it) { return has_ended(it, now); });
    if (limits.burst < account.burst) {
        for (auto& it : account.loans) {
            const int kept = static_cast<int>(std::floor(it.left * limits.burst / account.burst));
            it.spent += it.left - kept;
            it.left = kept;
        }
    }
    account.burst = limits.burst;
    account.least_burst = std::min(account.least_burst, limits.burst);
}

void drop_loans(borrower_account& account) {
    for (auto& it : account.loans) {
        it.spent += it.left;
        it.left = 0;
    }
}

bool should_ask(const borrower_account& account, const team_limits& limits, const loan_policy& policy,
                common::time_point now) {
    if (account.asking) {
        return false;
    }
    if (account.last_waiter > account.asked_through) {
        return true;
    }
    if (now < account.retry_at) {
        return false;
    }
    if (has_unreported(account)) {
        return true;
    }
    const int target = stock_target(account, limits, policy, now);
    const bool is_low = held_tokens(account, now) * 2 < target && now >= account.stock_retry_at;
    return is_low || ends_soon(account, policy, now);
}

loan_request begin_question(borrower_account& account, std::string_view self, const team_limits& limits,
                            const loan_policy& policy, common::time_point now) {
    keep_within(account, limits, now);
    account.least_burst = limits.burst;
    const int target = stock_target(account, limits, policy, now);
    const int held = held_tokens(account, now);
    give_back(account, held - 2 * target, now);
    loan_request request;
    request.borrower = self;
    request.needed = static_cast<int>(account.last_waiter - account.asked_through);
    request.wanted = std::max(0, target - held);
    for (const auto& it : account.loans) {
        request.reports.push_back({it.id, it.spent, it.returned});
    }
    account.asking = true;
    account.asked_tokens = request.needed + request.wanted;
    account.asked_at = now;
    account.asked_through = account.last_waiter;
    account.asked_reports = request.reports;
    return request;
}

void take_grant(borrower_account& account, const loan_grant& grant, const loan_policy& policy,
                common::time_point now) {
    const double took = common::seconds_between(account.asked_at, now);
    account.round_trip += round_trip_weight * (took - account.round_trip);
    const auto deadline = account.asked_at + policy.length;
    drop_reported(account);
    for (auto& it : account.loans) {
        const bool renewed =
            std::find(grant.renewed.begin(), grant.renewed.end(), it.id) != grant.renewed.end();
        if (renewed && !has_ended(it, now)) {
            it.deadline = std::max(it.deadline, deadline);
        }
    }
    if (grant.tokens > 0) {
        const double scale = grant.burst > account.least_burst ? account.least_burst / grant.burst : 1;
        const int kept = static_cast<int>(std::floor(grant.tokens * scale));
        account.loans.push_back({grant.id, kept, grant.tokens - kept, 0, deadline});
    }
    if (grant.tokens < account.asked_tokens) {
        account.stock_retry_at = now + retry_wait;
    }
    if (grant.dry.count() > 0) {
        // A question takes as long to reach the home as this one did, so the wait counts from then.
        account.dry_until = account.asked_at + grant.dry;
    }
    account.refused_through = account.asked_through;
    end_question(account);
}

void fail_question(borrower_account& account, common::time_point now) {
    account.retry_at = now + retry_wait;
    account.failed_through = account.asked_through;
    end_question(account);
}

} // namespace lycheegap::allowance
