#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "directory.h"
#include "rate_share.h"

namespace lycheegap::traffic {

// A team's rate limit has two parts. One is divided among all hosts by their expected share of callers, and
// used without messages. The other is held by a few hosts, the team's homes, which lend tokens to hosts that
// need more than their own. There is a home in each region, which the hosts of the region ask first. The
// homes hold equal shares, so a host that cannot reach one of them still gets tokens.

/// A host's own limit, for its `share` of all callers (0 to 1). Zero if the limit is so small that each of
/// `hosts` hosts would hold too few tokens to use them; the homes then lend all of it.
rate_limit own_limit(const rate_limit& fleet, double share, std::size_t hosts);

/// Whether a host with the own limit `own` uses tokens of its own. A bucket holds at least one token, so with
/// a smaller share the buckets of all hosts together would exceed the fleet's limit.
bool has_own_tokens(const rate_limit& own);

/// The limit on the tokens that one of `homes` homes lends: its equal share of what the `hosts` hosts don't
/// hold themselves.
rate_limit lent_limit(const rate_limit& fleet, std::size_t hosts, std::size_t homes);

/// Names of the hosts that lend a team's tokens, by rendezvous hashing: one of each region and, where there
/// are few regions, further ones. Hosts with the same members get the same names in the same order.
std::vector<std::string> homes_of(const fleet_members& members, std::string_view team);

/// The homes in the order in which a host in `region` asks them: those of its region, then the others,
/// rotated by `first` so that the hosts spread their questions.
std::vector<std::string> nearest_homes(const fleet_members& members, std::span<const std::string> homes,
                                       std::string_view region, std::size_t first);

/// Tokens that a home of a team can lend.
struct home_bucket {
    rate_bucket bucket;
    /// When this host became a home. It lends only after `home_wait`, when a former home knows that it is
    /// none.
    common::time_point home_since;
    bool is_home{false};
    /// Until when the host may lend, as far as known at the last update.
    common::time_point valid_until;
};

/// Time after which borrowed tokens expire, counted from the request for the loan.
inline constexpr common::milliseconds loan_lifetime{1000};
/// Time that a new home waits before it collects tokens and lends: hosts learn of new members up to that long
/// after one another, and until then the former home lends.
inline constexpr common::milliseconds home_wait{500};

/// Updates whether this host is a home; call it before each `lend`.
void note_home(home_bucket& home, bool is_home, common::time_point now);

/// Updates until when the host may lend. After a gap the bucket is empty and the home waits as a new one
/// does, because another host may have been the home meanwhile. Call it periodically, and before each `lend`.
void note_lending_right(home_bucket& home, common::time_point valid_until, common::time_point now);

/// Takes up to `wanted` tokens to lend and returns their number; 0 if there are none or this host may not
/// lend. `lent` is the limit of one home.
double lend(home_bucket& home, const rate_limit& lent, double wanted, common::time_point now);

/// A team's tokens on one host, own and borrowed.
struct team_tokens {
    rate_bucket own;
    /// The own limit in force; zero while the host has none.
    rate_limit own_limit;
    /// Borrowed tokens that are left.
    double borrowed{0};
    common::time_point borrowed_until;
    /// Until then, requests that find no token are refused without asking a home.
    common::time_point borrowing_paused_until;
    /// A batch loan, for several requests, has been asked for and not answered yet.
    bool loan_pending{false};
    /// Tokens asked for in the last batch loan.
    double pending_tokens{0};
    /// Requests that wait for a home's answer.
    int waiting_requests{0};
    /// Consecutive batch loans of less than half of the tokens asked for, up to a bound: a sign that other
    /// hosts compete for the tokens.
    int partial_loans{0};
    /// Number of loans asked for so far; each starts with the next home.
    std::size_t loan_requests{0};
    /// Requests per second that need a token, averaged over the recent past.
    double request_rate{0};
    /// Tokens used per second, averaged over the recent past.
    double token_use_rate{0};
    /// When the two rates were last updated.
    common::time_point rates_at;
};

/// What happens to a request that needs a token: it has one, is refused, or must ask a home for a loan.
enum class token_step : std::uint8_t { taken, refused, ask };

/// Decision on a request that needs a token, with the parameters of its next step.
struct token_decision {
    token_step step{token_step::refused};
    /// Refused: time after which the caller should retry.
    common::milliseconds pause{0};
    /// Ask: number of tokens to borrow.
    double wanted{0};
    /// Ask: this is the batch loan, which also covers other requests. At most one per team is pending.
    bool is_batch{false};
    /// Ask: try the homes in turn until one lends, rather than only the first that answers.
    bool all_homes{true};
    /// Ask: index of the home to start with, modulo their number.
    std::size_t first_home{0};
};

/// Takes a token or refuses the request, or has the caller ask the homes for a loan and pass the answer to
/// `note_loan`. Under a load far beyond the limit, most requests are refused at once: no more of them wait
/// than a home is likely to grant tokens. `own` is the host's own limit.
token_decision decide_token(team_tokens& tokens, const rate_limit& own, common::time_point now);

/// A home's answer to a request for a loan.
struct token_loan {
    /// Number of tokens lent.
    double granted{0};
    /// Time until the home expects to have a token again.
    common::milliseconds until_next_token{0};
};

/// Applies a home's answer to the loan that `request` asked for at `asked_at`, and takes a token for the
/// waiting request. Returns whether it got one. Tokens that arrive after `loan_lifetime` are dropped.
bool note_loan(team_tokens& tokens, const token_decision& request, const token_loan& lent,
               common::time_point asked_at, common::time_point now);

/// Returns a token that was taken but not used.
void return_token(team_tokens& tokens);

/// Time after which a refused caller should retry, for the number of requests that compete for each one that
/// can be served.
common::milliseconds pause_for_competition(double requests_per_served);

/// Time after which a refused caller should retry; it grows with the number of requests per available token.
common::milliseconds refusal_pause(const team_tokens& tokens);

} // namespace lycheegap::traffic
