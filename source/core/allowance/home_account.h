#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/clock.h"
#include "home_tenure.h"
#include "loan.h"

namespace lycheegap::allowance {

/// A loan as recorded by the home that granted it.
struct lent_loan {
    std::uint64_t id{0};
    std::string borrower;
    int tokens{0};
    int spent{0};
    int returned{0};
    common::time_point deadline;
    /// Fraction of a token credited for each returned one. Below 1 after the burst was lowered, since the
    /// borrower may have returned the token before that.
    double credit_per_return{1};
};

/// Token bucket of one team at its home host. `tokens` plus all tokens on loan that may be unspent never
/// exceed the burst, so the fleet as a whole never holds more tokens than a single token bucket would.
struct home_account {
    team_limits limits;
    double tokens{0};
    common::time_point refilled_at;
    std::vector<lent_loan> loans;
    /// Starts at a different value in each tenure, since borrowers may still report loans of an earlier home.
    std::uint64_t next_loan_id{1};
    /// Tokens that an earlier home may have lent without this host knowing, counted as on loan until
    /// `unaccounted_until`.
    double unaccounted_tokens{0};
    common::time_point unaccounted_until;
    /// A token was spent or lent in this tenure.
    bool has_issued_tokens{false};
};

/// State of an account that a home sends to its successor.
struct account_handover {
    /// Last generation in which the sender was the home.
    std::uint64_t last_generation{0};
    double tokens{0};
    double burst{0};
    std::vector<lent_loan> loans;
};

/// Account of a home whose tenure became active at `tenure.active_since`: empty at that time and refilled up
/// to `now`. Assumes that an earlier home has lent the whole burst, for the length of one loan.
home_account open_account(const team_limits& limits, const loan_policy& policy, const home_tenure& tenure,
                          common::time_point now);

/// Adds the tokens accrued up to `now` and drops expired loans.
void refill(home_account& account, common::time_point now);

/// Changes the limits. Lowering the burst scales the tokens down in proportion at once; after raising it the
/// bucket fills at its rate.
void set_limits(home_account& account, const team_limits& limits, common::time_point now);

/// Removes all tokens from the bucket. Must be called when this host was without authority for a while and
/// the limits may have changed meanwhile, so that neither the refill nor the burst of that time is known.
void empty_account(home_account& account, common::time_point now);

/// Number of tokens on loan that may be unspent.
double outstanding(const home_account& account);

/// Takes one token for a request on the home host itself. False if there is none.
bool take_token(home_account& account, common::time_point now);

/// Applies the borrower's reports, renews the reported loans and grants as many tokens as the policy allows.
loan_grant lend(home_account& account, const loan_policy& policy, const loan_request& request,
                common::time_point now);

/// Replaces the account's state by that of the previous home, unless tokens were already issued in this
/// tenure; then it returns false. Loan deadlines in `state` are on this host's clock.
bool apply_handover(home_account& account, const account_handover& state, common::time_point now);

/// State of one team's home role on one host. `account` is empty while the host is not the active home.
struct team_home {
    std::optional<home_account> account;
    home_tenure tenure;
    /// State received from a previous home and not applied yet.
    std::optional<account_handover> pending_handover;
};

/// Opens, updates or closes the account to match the current tenure. When this host is no longer the home and
/// had an account, returns the state to send to the next home; empty if the account is incomplete, because it
/// still counts tokens that an earlier home may have lent.
std::optional<account_handover> update_tenure(team_home& home, const std::optional<home_tenure>& current,
                                              const team_limits& limits, const loan_policy& policy,
                                              common::time_point now);

} // namespace lycheegap::allowance
