#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/common/clock.h"
#include "loan.h"

namespace lycheegap::allowance {

/// A loan as recorded by its borrower.
struct held_loan {
    std::uint64_t id{0};
    int remaining{0};
    /// Tokens spent on requests, or discarded because the burst was lowered or this host had no authority.
    int spent{0};
    int returned{0};
    common::time_point deadline;
};

/// Loans and pending token request of one team on a host that is not the team's home.
struct borrower_account {
    /// Burst to which the loans were last scaled.
    double burst{0};
    /// Smallest burst since the pending request was sent; the home may have granted under a larger one.
    double min_burst{0};
    /// In the order in which they were granted, so that those that expire first are spent first.
    std::vector<held_loan> loans;
    /// Caller requests per second as of `demand_updated_at`, smoothed over about one second.
    double demand_per_s{0};
    common::time_point demand_updated_at;
    /// Smoothed round-trip time of a token request, in seconds.
    double round_trip_s{0.05};
    /// Time before which the home expects to have no token.
    common::time_point no_tokens_until;
    /// After a request without an answer: no prefetch, report or renewal is requested before this time.
    common::time_point retry_at;
    /// After a grant of fewer tokens than requested: no prefetch for a low stock before this time.
    common::time_point prefetch_retry_at;
    /// A token request is pending, with what was asked for and reported in it.
    bool request_pending{false};
    int requested_tokens{0};
    std::vector<loan_report> sent_reports;
    common::time_point requested_at;
    /// Waiting caller requests are numbered from 1. `last_waiter` is the last number given out,
    /// `requested_through` the last one covered by a token request, `refused_through` the last one covered by
    /// an answered token request (refused if it got no token) and `failed_through` the last one whose token
    /// request failed.
    std::uint64_t last_waiter{0};
    std::uint64_t requested_through{0};
    std::uint64_t refused_through{0};
    std::uint64_t failed_through{0};
    /// Caller requests that wait for tokens now.
    int waiting{0};
};

/// Counts one caller request towards the demand.
void count_demand(borrower_account& account, common::time_point now);

/// Demand at `now`, in caller requests per second.
double current_demand_per_s(const borrower_account& account, common::time_point now);

/// Spends one token of an unexpired loan. False if there is none.
bool spend_held(borrower_account& account, common::time_point now);

/// Number of unspent tokens in unexpired loans.
int held_tokens(const borrower_account& account, common::time_point now);

/// Number of tokens to hold for the demand expected during two round trips, at most `max_held_tokens`.
int prefetch_target(const borrower_account& account, const team_limits& limits, const loan_policy& policy,
                    common::time_point now);

/// Drops expired loans and scales the others down in proportion when the burst was lowered.
void apply_limits(borrower_account& account, const team_limits& limits, common::time_point now);

/// Discards all held tokens. Must be called when this host may have been without authority for a while: the
/// limits may have been lowered and raised again meanwhile, without the loans having been scaled down.
void drop_loans(borrower_account& account);

/// Whether to send a token request now: caller requests are waiting, a used-up loan has to be reported, few
/// tokens are left, or a loan needs renewal. False while a request is pending.
bool should_request_tokens(const borrower_account& account, const team_limits& limits,
                           const loan_policy& policy, common::time_point now);

/// Starts a token request and returns the message to send. Surplus tokens that it gives back are no longer
/// spendable from this call on.
loan_request begin_token_request(borrower_account& account, std::string_view self, const team_limits& limits,
                                 const loan_policy& policy, common::time_point now);

/// Applies the answer to the pending request. Loan deadlines are counted from when the request was sent.
void apply_grant(borrower_account& account, const loan_grant& grant, const loan_policy& policy,
                 common::time_point now);

/// Ends the pending request when it failed or got no answer.
void fail_token_request(borrower_account& account, common::time_point now);

} // namespace lycheegap::allowance
