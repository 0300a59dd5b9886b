#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/common/clock.h"

namespace lycheegap::allowance {

/// Greatest error of a host's clock rate, as a part of the time that passes.
inline constexpr double clock_drift = 0.0005;

/// A team's limits: tokens a second and tokens.
struct team_limits {
    double rate{0};
    double burst{0};
};

/// How a home lends; the same on all hosts.
struct loan_policy {
    /// Length of a loan, counted by the borrower from the moment it asked.
    common::milliseconds length{1000};
    /// Part of the burst that one host may hold ahead of need.
    double host_share{0.2};
    /// Part of the home's tokens that one answer may lend ahead of need.
    double stock_share{0.25};
    /// Tokens that a home keeps for requests that wait, and the most that is of the burst.
    double reserve{6};
    double reserve_share{0.5};
};

/// What a borrower tells of one loan, in totals since it was lent: a repeated or late report does no harm.
struct loan_report {
    std::uint64_t id{0};
    int spent{0};
    int returned{0};
};

/// A borrower's question to the home.
struct loan_request {
    std::string borrower;
    /// Tokens for requests that wait now.
    int needed{0};
    /// Tokens to hold ahead of need.
    int wanted{0};
    std::vector<loan_report> reports;
};

/// The home's answer.
struct loan_grant {
    std::uint64_t id{0};
    int tokens{0};
    /// Burst that the home lent under.
    double burst{0};
    /// Reported loans whose length counts anew from this question.
    std::vector<std::uint64_t> renewed;
    /// Time until the home expects a token, when it had none; zero otherwise.
    common::milliseconds dry{0};
};

/// Deadline at the lender of a loan that is lent or renewed now: no borrower's clock reaches it later.
common::time_point lender_deadline(common::time_point now, common::milliseconds length);

/// Tokens that one host may hold ahead of need: at least one, when the burst holds one.
int most_held(const team_limits& limits, const loan_policy& policy);

} // namespace lycheegap::allowance
