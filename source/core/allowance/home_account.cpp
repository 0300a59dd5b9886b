#include "home_account.h"

#include <algorithm>
#include <cmath>

namespace lycheegap::allowance {

namespace {

constexpr auto longest_dry = common::milliseconds(100);
constexpr unsigned loan_number_bits = 32;

int unspent(const lent_loan& loan) {
    return loan.tokens - loan.spent - loan.returned;
}

/// Tokens on loan count against the burst until they are known to be spent: they may be spent at any later
/// moment, together with all that the bucket holds then.
double room(const home_account& account) {
    return std::max(0.0, account.limits.burst - outstanding(account) - account.unknown);
}

void drop_ended(home_account& account, common::time_point now) {
    std::erase_if(account.loans,
                  [now](const lent_loan& it) { return unspent(it) <= 0 || it.deadline <= now; });
    if (account.unknown_until <= now) {
        account.unknown = 0;
    }
}

std::optional<common::time_point> next_end(const home_account& account) {
    std::optional<common::time_point> end;
    if (account.unknown > 0) {
        end = account.unknown_until;
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
    // A clock that runs fast must not add tokens above the rate.
    const double elapsed = common::seconds_between(account.refilled_at, now) * (1 - 2 * clock_drift);
    account.tokens = std::min(room(account), account.tokens + account.limits.rate * elapsed);
    account.refilled_at = now;
}

int newly_returned(lent_loan& loan, const loan_report& report) {
    loan.spent = std::clamp(report.spent, loan.spent, loan.tokens - loan.returned);
    const int before = loan.returned;
    loan.returned = std::clamp(report.returned, loan.returned, loan.tokens - loan.spent);
    return loan.returned - before;
}

/// Counts what the borrower tells and renews its loans; the ids of the renewed ones.
std::vector<std::uint64_t> settle(home_account& account, const loan_policy& policy,
                                  const loan_request& request, common::time_point now) {
    std::vector<std::uint64_t> renewed;
    for (const auto& report : request.reports) {
        const auto found = std::find_if(account.loans.begin(), account.loans.end(), [&](const lent_loan& it) {
            return it.id == report.id && it.borrower == request.borrower;
        });
        if (found == account.loans.end()) {
            continue;
        }
        account.tokens += newly_returned(*found, report) * found->worth;
        found->deadline = std::max(found->deadline, lender_deadline(now, policy.length));
        renewed.push_back(report.id);
    }
    drop_ended(account, now);
    account.tokens = std::min(account.tokens, room(account));
    return renewed;
}

int held_by(const home_account& account, std::string_view borrower) {
    int held = 0;
    for (const auto& it : account.loans) {
        held += it.borrower == borrower ? unspent(it) : 0;
    }
    return held;
}

int grantable(const home_account& account, const loan_policy& policy, const loan_request& request) {
    const int there = static_cast<int>(std::floor(account.tokens));
    const int needed = std::min(std::max(0, request.needed), there);
    const double kept = std::min(policy.reserve, account.limits.burst * policy.reserve_share);
    const int spare = static_cast<int>(std::floor((account.tokens - needed - kept) * policy.stock_share));
    const int allowed = most_held(account.limits, policy) - held_by(account, request.borrower);
    const int stock = std::min({std::max(0, request.wanted), spare, allowed});
    return needed + std::max(0, stock);
}

common::milliseconds time_to_token(const home_account& account) {
    if (account.limits.rate <= 0) {
        return longest_dry;
    }
    const double missing = std::max(0.0, 1 - account.tokens);
    const auto wait = common::milliseconds(static_cast<std::int64_t>(missing / account.limits.rate * 1000));
    return std::min(wait, longest_dry);
}

} // namespace

home_account open_account(const team_limits& limits, const loan_policy& policy, const home_tenure& tenure,
                          common::time_point now) {
    home_account account;
    account.limits = limits;
    account.refilled_at = tenure.since;
    account.next_loan = (tenure.first_generation << loan_number_bits) + 1;
    account.unknown = limits.burst;
    account.unknown_until = lender_deadline(tenure.since, policy.length);
    refill(account, now);
    return account;
}

void refill(home_account& account, common::time_point now) {
    // Until a loan's deadline its tokens leave no room; what would have flowed in meanwhile is lost.
    for (auto end = next_end(account); end && *end <= now; end = next_end(account)) {
        add_refill(account, *end);
        drop_ended(account, *end);
    }
    add_refill(account, now);
}

void set_limits(home_account& account, const team_limits& limits, common::time_point now) {
    refill(account, now);
    if (limits.burst < account.limits.burst) {
        const double scale = limits.burst / account.limits.burst;
        account.tokens *= scale;
        for (auto& it : account.loans) {
            it.worth *= scale;
        }
    }
    account.limits = limits;
    account.tokens = std::min(account.tokens, room(account));
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

bool take_own(home_account& account, common::time_point now) {
    refill(account, now);
    if (account.tokens < 1) {
        return false;
    }
    account.tokens -= 1;
    account.used = true;
    return true;
}

loan_grant lend(home_account& account, const loan_policy& policy, const loan_request& request,
                common::time_point now) {
    refill(account, now);
    loan_grant grant;
    grant.burst = account.limits.burst;
    grant.renewed = settle(account, policy, request, now);
    grant.tokens = grantable(account, policy, request);
    if (grant.tokens < request.needed) {
        grant.dry = time_to_token(account);
    }
    if (grant.tokens == 0) {
        return grant;
    }
    grant.id = account.next_loan++;
    account.tokens -= grant.tokens;
    account.used = true;
    account.loans.push_back(
        {grant.id, request.borrower, grant.tokens, 0, 0, lender_deadline(now, policy.length), 1});
    return grant;
}

bool take_handover(home_account& account, const account_handover& state, common::time_point now) {
    if (account.used) {
        return false;
    }
    refill(account, now);
    account.loans = state.loans;
    account.unknown = 0;
    const double scale = state.burst > account.limits.burst ? account.limits.burst / state.burst : 1;
    account.tokens = std::min(std::max(account.tokens, state.tokens * scale), room(account));
    for (auto& it : account.loans) {
        it.worth *= scale;
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
    // What an earlier home lent is not in the list: the next home must wait for it, too.
    const bool complete = home.account->unknown <= 0;
    home.account.reset();
    return complete ? std::optional(std::move(state)) : std::nullopt;
}

void take_offer(team_home& home, common::time_point now) {
    if (!home.offered || !home.account) {
        return;
    }
    // Only the home right before this tenure knows all that was lent and spent.
    if (home.offered->last_generation + 1 == home.tenure.first_generation) {
        take_handover(*home.account, *home.offered, now);
    }
    home.offered.reset();
}

} // namespace

std::optional<account_handover> follow_tenure(team_home& home, const std::optional<home_tenure>& held,
                                              const team_limits& limits, const loan_policy& policy,
                                              common::time_point now) {
    if (!held) {
        return close_account(home, now);
    }
    if (home.account && home.tenure.first_generation != held->first_generation) {
        // Another host may have been home in between.
        home.account.reset();
    }
    home.tenure = *held;
    if (!home.account) {
        home.account = open_account(limits, policy, *held, now);
    }
    set_limits(*home.account, limits, now);
    take_offer(home, now);
    return std::nullopt;
}

} // namespace lycheegap::allowance
