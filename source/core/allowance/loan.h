#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/common/clock.h"

namespace lycheegap::allowance {

/// Largest error of a host's clock rate, as a fraction of the elapsed time.
inline constexpr double max_clock_drift = 0.0005;

/// Token bucket limits of a team: `rate` in tokens per second, `burst` in tokens.
struct team_limits {
    double rate{0};
    double burst{0};
};

/// Rules by which a home host lends tokens to other hosts; the same on all hosts.
struct loan_policy {
    /// Lifetime of a loan, counted by the borrower from the moment it sent the request.
    common::milliseconds length{1000};
    /// Largest fraction of the burst that one host may prefetch.
    double host_share{0.2};
    /// Largest fraction of the home's tokens above the reserve that one grant may lend as prefetch.
    double prefetch_share{0.25};
    /// Tokens that a home does not lend as prefetch, so that they are there for waiting requests, and the
    /// largest fraction of the burst that they may take up.
    double reserve_tokens{6};
    double max_reserve_share{0.5};
};

/// State of one loan as reported by its borrower. Counts are totals since the loan was granted, so a repeated
/// or late report is harmless.
struct loan_report {
    std::uint64_t id{0};
    int spent{0};
    int returned{0};
};

/// A borrower's request for tokens to the team's home host.
struct loan_request {
    std::string borrower;
    /// Tokens for caller requests that are waiting now.
    int needed{0};
    /// Tokens to prefetch for later caller requests.
    int wanted{0};
    std::vector<loan_report> reports;
};

/// The home host's answer to a loan request.
struct loan_grant {
    std::uint64_t id{0};
    int tokens{0};
    /// Burst limit at the home when the tokens were granted.
    double burst{0};
    /// Reported loans whose lifetime restarts with this request.
    std::vector<std::uint64_t> renewed;
    /// Time until the home expects to have a token when it could not grant all needed tokens; zero otherwise.
    common::milliseconds retry_after{0};
};

/// Deadline kept by the home for a loan that is granted or renewed now. Allows for clock drift: the
/// borrower's own deadline is never later.
common::time_point lender_deadline(common::time_point now, common::milliseconds length);

/// Largest number of tokens that one host may prefetch; at least one if the burst is one token or more.
int max_held_tokens(const team_limits& limits, const loan_policy& policy);

} // namespace lycheegap::allowance
