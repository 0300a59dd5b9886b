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

/// A loan as its lender sees it.
struct lent_loan {
    std::uint64_t id{0};
    std::string borrower;
    int tokens{0};
    int spent{0};
    int returned{0};
    common::time_point deadline;
    /// What a returned token counts: less than one once the burst was lowered, since it may have been given
    /// back before that.
    double worth{1};
};

/// The one account of a team, at its home. `tokens`, plus what may be out unspent, is never above the burst:
/// so the tokens of the whole fleet are never above those of one ideal bucket.
struct home_account {
    team_limits limits;
    double tokens{0};
    common::time_point refilled_at;
    std::vector<lent_loan> loans;
    /// Differs between homes: a borrower may still report loans of an earlier one.
    std::uint64_t next_loan{1};
    /// Tokens that an earlier home may have lent, until the deadline.
    double unknown{0};
    common::time_point unknown_until;
    /// Tokens have left since this host became home.
    bool used{false};
};

/// State that a home passes to the next one.
struct account_handover {
    /// Last generation in which the sender was home.
    std::uint64_t last_generation{0};
    double tokens{0};
    double burst{0};
    std::vector<lent_loan> loans;
};

/// Account of a home that acts since its tenure began: empty at that moment, refilled up to `now`. What an
/// earlier home lent may be out for one more loan's length.
home_account open_account(const team_limits& limits, const loan_policy& policy, const home_tenure& tenure,
                          common::time_point now);

/// Counts the refill and drops loans past their deadline.
void refill(home_account& account, common::time_point now);

/// Changes the limits. A smaller burst cuts the tokens in proportion at once; a greater one fills up.
void set_limits(home_account& account, const team_limits& limits, common::time_point now);

/// Empties the account. To be called when this host had no authority for a while and other limits than it
/// knew may have been in force: what flowed in since and what the burst allowed is not known.
void empty_account(home_account& account, common::time_point now);

/// Tokens out on loans that may be unspent.
double outstanding(const home_account& account);

/// Spends one token on the home itself.
bool take_own(home_account& account, common::time_point now);

/// Counts the reports, renews the loans in them and lends what it can.
loan_grant lend(home_account& account, const loan_policy& policy, const loan_request& request,
                common::time_point now);

/// Takes over the state of the home before, unless tokens have left already. Loan deadlines are this host's.
bool take_handover(home_account& account, const account_handover& state, common::time_point now);

/// A team's home on one host, as long as the host is home.
struct team_home {
    std::optional<home_account> account;
    home_tenure tenure;
    /// State that has come from another home, not taken over yet.
    std::optional<account_handover> offered;
};

/// Opens, keeps or closes the account as the tenure says. Returns the state for the next home when the
/// account was closed because another host is home now.
std::optional<account_handover> follow_tenure(team_home& home, const std::optional<home_tenure>& held,
                                              const team_limits& limits, const loan_policy& policy,
                                              common::time_point now);

} // namespace lycheegap::allowance
