#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/common/clock.h"
#include "loan.h"

namespace lycheegap::allowance {

/// A loan as its borrower sees it.
struct held_loan {
    std::uint64_t id{0};
    int left{0};
    /// Spent, or cut with the burst: gone either way.
    int spent{0};
    int returned{0};
    common::time_point deadline;
};

/// What a host that is not the home holds for one team.
struct borrower_account {
    /// Burst that the loans were cut to.
    double burst{0};
    /// Least burst since the question under way was asked: the home may have lent under a greater one.
    double least_burst{0};
    /// Those that end first come first.
    std::vector<held_loan> loans;
    /// Requests a second, averaged over the last second or so.
    double demand{0};
    common::time_point demand_at;
    /// Mean time of a question to the home, in seconds.
    double round_trip{0.05};
    /// The home said that it has no token before this moment.
    common::time_point dry_until;
    /// The home gave no answer: no question ahead of need before this moment.
    common::time_point retry_at;
    /// The home lent less than was wanted: no question for more stock before this moment.
    common::time_point stock_retry_at;
    /// A question is on its way; its reports.
    bool asking{false};
    int asked_tokens{0};
    std::vector<loan_report> asked_reports;
    common::time_point asked_at;
    /// Requests that wait, numbered from 1: how many came, how many of them the question counts, and up to
    /// which number the home has answered without a token or given no answer.
    std::uint64_t last_waiter{0};
    std::uint64_t asked_through{0};
    std::uint64_t refused_through{0};
    std::uint64_t failed_through{0};
    int waiting{0};
};

/// Counts one request in the demand.
void count_demand(borrower_account& account, common::time_point now);

/// Requests a second as of `now`.
double demand_now(const borrower_account& account, common::time_point now);

/// Spends one token of a loan that has not ended.
bool spend_held(borrower_account& account, common::time_point now);

/// Tokens held in loans that have not ended.
int held_tokens(const borrower_account& account, common::time_point now);

/// Tokens worth holding ahead of need.
int stock_target(const borrower_account& account, const team_limits& limits, const loan_policy& policy,
                 common::time_point now);

/// Drops loans past their deadline and cuts them in proportion to a smaller burst.
void keep_within(borrower_account& account, const team_limits& limits, common::time_point now);

/// Gives up all loans. To be called when this host may have had no authority for a while: limits may have
/// been lower and higher again since, and the loans would not be cut to them.
void drop_loans(borrower_account& account);

/// Whether to ask now: requests wait, the stock is low, or loans end soon.
bool should_ask(const borrower_account& account, const team_limits& limits, const loan_policy& policy,
                common::time_point now);

/// The question to send now. Tokens that are given back leave the stock before it is sent.
loan_request begin_question(borrower_account& account, std::string_view self, const team_limits& limits,
                            const loan_policy& policy, common::time_point now);

/// Takes the answer to the question under way. Deadlines count from when it was asked.
void take_grant(borrower_account& account, const loan_grant& grant, const loan_policy& policy,
                common::time_point now);

/// The question under way got no answer.
void fail_question(borrower_account& account, common::time_point now);

} // namespace lycheegap::allowance
