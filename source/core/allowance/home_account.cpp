#include "home_account.h"

#include <algorithm>
#include <cmath>

namespace lycheegap::allowance {

namespace {

/// Upper bound of `loan_grant::dry`.
constexpr auto max_retry_after = common::milliseconds(100);
/// Low bits of a loan id that number the loans of one tenure; the high bits hold its first generation.
constexpr unsigned loan_sequence_bits = 32;

int unspent(const lent_loan& loan) {
    return loan.tokens - loan.spent - loan.returned;
}

/// Number of tokens that the bucket may hold. Tokens on loan count against the burst until they are reported
/// as spent, since the borrower may spend them at any time, together with all tokens in the bucket.
double free_capacity(const home_account& account) {
    return std::max(0.0, account.limits.burst - outstanding(account) - account.unaccounted_tokens);
}

void drop_expired(home_account& account, common::time_point now) {
    std::erase_if(account.loans,
                  [now](const lent_loan& it) { return unspent(it) <= 0 || it.deadline <= now; });
    if (account.unaccounted_until <= now) {
        account.unaccounted_tokens = 0;
    }
}

std::optional<common::time_point> next_expiry(const home_account& account) {
    std::optional<common::time_point> end;
    if (account.unaccounted_tokens > 0) {
        end = account.unaccounted_until;
    }
    for (const auto& it : account.loans) {
        end = end ? std::min(*end, it.deadline) : it.deadline;
    }
    return end;
}

void add_refill(home_account& account, common::time_point now) {
    if (now <= account.refilled_at) {
        return;
    }
    // Compensates for a clock that runs fast, which would add tokens faster than the rate.
    const double elapsed_s = common::seconds_between(account.refilled_at, now) * (1 - 2 * max_clock_drift);
    account.tokens = std::min(free_capacity(account), account.tokens + account.limits.rate * elapsed_s);
    account.refilled_at = now;
}

/// Updates the loan's totals and returns the number of tokens returned since the last report. Totals never go
/// down, so a repeated or reordered report has no effect.
int record_report(lent_loan& loan, const loan_report& report) {
    loan.spent = std::clamp(report.spent, loan.spent, loan.tokens - loan.returned);
    const int before = loan.returned;
    loan.returned = std::clamp(report.returned, loan.returned, loan.tokens - loan.spent);
    return loan.returned - before;
}

/// Credits returned tokens, renews the reported loans and returns the ids of the renewed ones.
std::vector<std::uint64_t> apply_reports(home_account& account, const loan_policy& policy,
                                         const loan_request& request, common::time_point now) {
    std::vector<std::uint64_t> renewed;
    for (const auto& report : request.reports) {
        const auto found = std::find_if(account.loans.begin(), account.loans.end(), [&](const lent_loan& it) {
            return it.id == report.id && it.borrower == request.borrower;
        });
        if (found == account.loans.end()) {
            continue;
        }
        account.tokens += record_report(*found, report) * found->credit_per_return;
        found->deadline = std::max(found->deadline, lender_deadline(now, policy.length));
        renewed.push_back(report.id);
    }
    drop_expired(account, now);
    account.tokens = std::min(account.tokens, free_capacity(account));
    return renewed;
}

int tokens_lent_to(const home_account& account, std::string_view borrower) {
    int lent = 0;
    for (const auto& it : account.loans) {
        lent += it.borrower == borrower ? unspent(it) : 0;
    }
    return lent;
}

/// Needed tokens as far as available, plus prefetch tokens out of a share of what is left above the reserve,
/// up to the borrower's maximum.
int grantable_tokens(const home_account& account, const loan_policy& policy, const loan_request& request) {
    const int available = static_cast<int>(std::floor(account.tokens));
    const int needed = std::min(std::max(0, request.needed), available);
    const double reserved = std::min(policy.reserve_tokens, account.limits.burst * policy.max_reserve_share);
    const int spare =
        static_cast<int>(std::floor((account.tokens - needed - reserved) * policy.prefetch_share));
    const int allowed = max_held_tokens(account.limits, policy) - tokens_lent_to(account, request.borrower);
    const int prefetch = std::min({std::max(0, request.wanted), spare, allowed});
    return needed + std::max(0, prefetch);
}

common::milliseconds time_until_token(const home_account& account) {
    if (account.limits.rate <= 0) {
        return max_retry_after;
    }
    const double missing = std::max(0.0, 1 - account.tokens);
    const auto wait = common::milliseconds(static_cast<std::int64_t>(missing / account.limits.rate * 1000));
    return std::min(wait, max_retry_after);
}

} // namespace

home_account open_account(const team_limits& limits, const loan_policy& policy, const home_tenure& tenure,
                          common::time_point now) {
    home_account account;
    account.limits = limits;
    account.refilled_at = tenure.active_since;
    account.next_loan_id = (tenure.first_generation << loan_sequence_bits) + 1;
    account.unaccounted_tokens = limits.burst;
    account.unaccounted_until = lender_deadline(tenure.active_since, policy.length);
    refill(account, now);
    return account;
}

void refill(home_account& account, common::time_point now) {
    // Refills up to each loan deadline in turn: until then the loan takes up capacity of the bucket, and
    // tokens that accrue while the bucket is full are lost.
    for (auto end = next_expiry(account); end && *end <= now; end = next_expiry(account)) {
        add_refill(account, *end);
        drop_expired(account, *end);
    }
    add_refill(account, now);
}

void set_limits(home_account& account, const team_limits& limits, common::time_point now) {
    refill(account, now);
    if (limits.burst < account.limits.burst) {
        const double scale = limits.burst / account.limits.burst;
        account.tokens *= scale;
        for (auto& it : account.loans) {
            it.credit_per_return *= scale;
        }
    }
    account.limits = limits;
    account.tokens = std::min(account.tokens, free_capacity(account));
}

void empty_account(home_account& account, common::time_point now) {
    refill(account, now);
    account.tokens = 0;
}

double outstanding(const home_account& account) {
    double sum = 0;
    for (const auto& it : account.loans) {
        sum += unspent(it);
    }
    return sum;
}

bool take_token(home_account& account, common::time_point now) {
    refill(account, now);
    if (account.tokens < 1) {
        return false;
    }
    account.tokens -= 1;
    account.has_issued_tokens = true;
    return true;
}

loan_grant lend(home_account& account, const loan_policy& policy, const loan_request& request,
                common::time_point now) {
    refill(account, now);
    loan_grant grant;
    grant.burst = account.limits.burst;
    grant.renewed = apply_reports(account, policy, request, now);
    grant.tokens = grantable_tokens(account, policy, request);
    if (grant.tokens < request.needed) {
        grant.retry_after = time_until_token(account);
    }
    if (grant.tokens == 0) {
        return grant;
    }
    grant.id = account.next_loan_id++;
    account.tokens -= grant.tokens;
    account.has_issued_tokens = true;
    account.loans.push_back(
        {grant.id, request.borrower, grant.tokens, 0, 0, lender_deadline(now, policy.length), 1});
    return grant;
}

bool apply_handover(home_account& account, const account_handover& state, common::time_point now) {
    if (account.has_issued_tokens) {
        return false;
    }
    refill(account, now);
    account.loans = state.loans;
    account.unaccounted_tokens = 0;
    const double scale = state.burst > account.limits.burst ? account.limits.burst / state.burst : 1;
    account.tokens = std::min(std::max(account.tokens, state.tokens * scale), free_capacity(account));
    for (auto& it : account.loans) {
        it.credit_per_return *= scale;
    }
    return true;
}

namespace {

std::optional<account_handover> close_account(team_home& home, common::time_point now) {
    if (!home.account) {
        return std::nullopt;
    }
    refill(*home.account, now);
    account_handover state;
    state.last_generation = home.tenure.last_generation;
    state.tokens = home.account->tokens;
    state.burst = home.account->limits.burst;
    state.loans = std::move(home.account->loans);
    // Loans of an earlier home are missing from the list. While there may be any, nothing is handed over, and
    // the next home waits until all loans have expired.
    const bool complete = home.account->unaccounted_tokens <= 0;
    home.account.reset();
    return complete ? std::optional(std::move(state)) : std::nullopt;
}

void apply_pending_handover(team_home& home, common::time_point now) {
    if (!home.pending_handover || !home.account) {
        return;
    }
    // Only the home of the generation right before this tenure has a complete record of loans and spending.
    if (home.pending_handover->last_generation + 1 == home.tenure.first_generation) {
        apply_handover(*home.account, *home.pending_handover, now);
    }
    home.pending_handover.reset();
}

} // namespace

std::optional<account_handover> update_tenure(team_home& home, const std::optional<home_tenure>& current,
                                              const team_limits& limits, const loan_policy& policy,
                                              common::time_point now) {
    if (!current) {
        return close_account(home, now);
    }
    if (home.account && home.tenure.first_generation != current->first_generation) {
        // Another host may have been the home between the two tenures.
        home.account.reset();
    }
    home.tenure = *current;
    if (!home.account) {
        home.account = open_account(limits, policy, *current, now);
    }
    set_limits(*home.account, limits, now);
    apply_pending_handover(home, now);
    return std::nullopt;
}

} // namespace lycheegap::allowance
