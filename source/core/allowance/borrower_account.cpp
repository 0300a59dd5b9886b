#include "borrower_account.h"

#include <algorithm>
#include <cmath>

namespace lycheegap::allowance {

namespace {

constexpr double demand_window_s = 1.0;
constexpr double round_trip_smoothing = 0.2;

/// After a failed request: delay before the next one that no caller waits for. After a grant of fewer tokens
/// than requested: delay before the next prefetch.
constexpr auto retry_delay = common::milliseconds(200);

/// Fraction of a loan's lifetime after which it is renewed.
constexpr double renewal_fraction = 0.5;

bool has_expired(const held_loan& loan, common::time_point now) {
    return loan.deadline <= now;
}

/// Marks up to `surplus` tokens as returned; the next report returns them to the home.
void return_tokens(borrower_account& account, int surplus, common::time_point now) {
    for (auto& it : account.loans) {
        if (has_expired(it, now)) {
            continue;
        }
        const int part = std::clamp(surplus, 0, it.remaining);
        it.remaining -= part;
        it.returned += part;
        surplus -= part;
    }
}

/// Whether a loan has no tokens left, so that the home can release it once this is reported.
bool has_spent_loan(const borrower_account& account) {
    return std::any_of(account.loans.begin(), account.loans.end(),
                       [](const held_loan& it) { return it.remaining == 0; });
}

bool needs_renewal(const borrower_account& account, const loan_policy& policy, common::time_point now) {
    const double lead_ms = static_cast<double>(policy.length.count()) * (1 - renewal_fraction);
    const auto renew_before = now + common::milliseconds(static_cast<std::int64_t>(lead_ms));
    return std::any_of(account.loans.begin(), account.loans.end(), [renew_before](const held_loan& it) {
        return it.remaining > 0 && it.deadline <= renew_before;
    });
}

/// Drops used-up loans whose final counts were in the request that the home has now answered.
void drop_settled_loans(borrower_account& account) {
    const auto is_settled = [&](const held_loan& loan) {
        return loan.remaining == 0 && std::any_of(account.sent_reports.begin(), account.sent_reports.end(),
                                                  [&](const loan_report& it) {
                                                      return it.id == loan.id && it.spent == loan.spent &&
                                                             it.returned == loan.returned;
                                                  });
    };
    std::erase_if(account.loans, is_settled);
}

void finish_request(borrower_account& account) {
    account.request_pending = false;
    account.sent_reports.clear();
}

} // namespace

void count_demand(borrower_account& account, common::time_point now) {
    account.demand_per_s = current_demand_per_s(account, now) + 1 / demand_window_s;
    account.demand_updated_at = now;
}

double current_demand_per_s(const borrower_account& account, common::time_point now) {
    const double elapsed_s = std::max(0.0, common::seconds_between(account.demand_updated_at, now));
    return account.demand_per_s * std::exp(-elapsed_s / demand_window_s);
}

bool spend_held(borrower_account& account, common::time_point now) {
    for (auto& it : account.loans) {
        if (it.remaining > 0 && !has_expired(it, now)) {
            --it.remaining;
            ++it.spent;
            return true;
        }
    }
    return false;
}

int held_tokens(const borrower_account& account, common::time_point now) {
    int held = 0;
    for (const auto& it : account.loans) {
        held += has_expired(it, now) ? 0 : it.remaining;
    }
    return held;
}

int prefetch_target(const borrower_account& account, const team_limits& limits, const loan_policy& policy,
                    common::time_point now) {
    const double demand_per_s = current_demand_per_s(account, now);
    // Covers the demand of two round trips plus a part of a token. Any demand rounds up to at least one
    // token; a team that has sent no requests to this host gets none.
    const double target =
        std::ceil(demand_per_s * account.round_trip_s * 2 + demand_per_s / (demand_per_s + 1));
    return std::min(static_cast<int>(target), max_held_tokens(limits, policy));
}

void apply_limits(borrower_account& account, const team_limits& limits, common::time_point now) {
    std::erase_if(account.loans, [now](const held_loan& it) { return has_expired(it, now); });
    if (limits.burst < account.burst) {
        for (auto& it : account.loans) {
            const int kept = static_cast<int>(std::floor(it.remaining * limits.burst / account.burst));
            it.spent += it.remaining - kept;
            it.remaining = kept;
        }
    }
    account.burst = limits.burst;
    account.min_burst = std::min(account.min_burst, limits.burst);
}

void drop_loans(borrower_account& account) {
    for (auto& it : account.loans) {
        it.spent += it.remaining;
        it.remaining = 0;
    }
}

bool should_request_tokens(const borrower_account& account, const team_limits& limits,
                           const loan_policy& policy, common::time_point now) {
    if (account.request_pending) {
        return false;
    }
    if (account.last_waiter > account.requested_through) {
        return true;
    }
    if (now < account.retry_at) {
        return false;
    }
    if (has_spent_loan(account)) {
        return true;
    }
    const int target = prefetch_target(account, limits, policy, now);
    const bool is_low = held_tokens(account, now) * 2 < target && now >= account.prefetch_retry_at;
    return is_low || needs_renewal(account, policy, now);
}

loan_request begin_token_request(borrower_account& account, std::string_view self, const team_limits& limits,
                                 const loan_policy& policy, common::time_point now) {
    apply_limits(account, limits, now);
    account.min_burst = limits.burst;
    const int target = prefetch_target(account, limits, policy, now);
    const int held = held_tokens(account, now);
    return_tokens(account, held - 2 * target, now);
    loan_request request;
    request.borrower = self;
    request.needed = static_cast<int>(account.last_waiter - account.requested_through);
    request.wanted = std::max(0, target - held);
    for (const auto& it : account.loans) {
        request.reports.push_back({it.id, it.spent, it.returned});
    }
    account.request_pending = true;
    account.requested_tokens = request.needed + request.wanted;
    account.requested_at = now;
    account.requested_through = account.last_waiter;
    account.sent_reports = request.reports;
    return request;
}

void apply_grant(borrower_account& account, const loan_grant& grant, const loan_policy& policy,
                 common::time_point now) {
    const double took_s = common::seconds_between(account.requested_at, now);
    account.round_trip_s += round_trip_smoothing * (took_s - account.round_trip_s);
    const auto deadline = account.requested_at + policy.length;
    drop_settled_loans(account);
    for (auto& it : account.loans) {
        const bool renewed =
            std::find(grant.renewed.begin(), grant.renewed.end(), it.id) != grant.renewed.end();
        if (renewed && !has_expired(it, now)) {
            it.deadline = std::max(it.deadline, deadline);
        }
    }
    if (grant.tokens > 0) {
        const double scale = grant.burst > account.min_burst ? account.min_burst / grant.burst : 1;
        const int kept = static_cast<int>(std::floor(grant.tokens * scale));
        account.loans.push_back({grant.id, kept, grant.tokens - kept, 0, deadline});
    }
    if (grant.tokens < account.requested_tokens) {
        account.prefetch_retry_at = now + retry_delay;
    }
    if (grant.retry_after.count() > 0) {
        // The next request takes about as long to reach the home as this one did, so the wait counts from
        // when this one was sent.
        account.no_tokens_until = account.requested_at + grant.retry_after;
    }
    account.refused_through = account.requested_through;
    finish_request(account);
}

void fail_token_request(borrower_account& account, common::time_point now) {
    account.retry_at = now + retry_delay;
    account.failed_through = account.requested_through;
    finish_request(account);
}

} // namespace lycheegap::allowance
