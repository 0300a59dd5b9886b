#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "directory.h"
#include "rate_share.h"

namespace lycheegap::traffic {

// A team's limit has two parts. One is divided among the hosts by their expected part of callers and needs no
// message. The other is kept by a few hosts, the team's homes, which lend tokens to hosts that need more than
// their own. Each home has an equal share, so that a host that cannot reach one of them still gets tokens.

/// This host's own part of a limit; nothing where each of `hosts` hosts would hold too few tokens to use.
rate_limit own_limit(const rate_limit& fleet, double part, std::size_t hosts);

/// What one home lends: its share of the rest.
rate_limit lent_limit(const rate_limit& fleet, std::size_t hosts);

/// Hosts that lend a team's tokens; all hosts that know the same members name the same ones, in one order.
std::vector<std::string> homes_of(const fleet_members& members, std::string_view team);

/// Tokens of a team at one of its homes.
struct home_bucket {
    rate_bucket bucket;
    /// Moment from which this host is a home; it lends only after a former home's tokens have lapsed.
    common::time_point since;
    bool is_home{false};
};

/// How long lent tokens last.
inline constexpr common::milliseconds loan_time{1000};
/// A new home waits so long: hosts learn of new members within half a second of each other.
inline constexpr common::milliseconds home_wait{1500};

/// Notes whether this host is a home, before each loan.
void note_home(home_bucket& home, bool is_home, common::time_point now);

/// Lends up to `wanted` tokens; 0 when there is none or this host may not lend.
double lend(home_bucket& home, const rate_limit& lent, double wanted, common::time_point now);

/// A team's tokens on one host.
struct team_tokens {
    rate_bucket own;
    double borrowed{0};
    common::time_point borrowed_until;
    /// No home had a token to lend until then.
    common::time_point dry_until;
    /// A question is on its way to a home.
    bool asking{false};
    /// Requests of the recent past a second, for how many tokens to ask.
    double demand{0};
    common::time_point demand_at;
};

/// Takes one token, borrowed ones first since these lapse.
bool take_team_token(team_tokens& tokens, const rate_limit& own, common::time_point now);

/// Counts a request and returns how many tokens are worth asking for.
double note_demand(team_tokens& tokens, common::time_point now);

} // namespace lycheegap::traffic
