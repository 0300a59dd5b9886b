#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/allowance/borrower_account.h"
#include "core/allowance/home_account.h"
#include "core/common/ranked_mutex.h"
#include "core/membership/generation.h"

namespace lycheegap::host {

/// Token state and counters of one team on this host.
struct team_allowance {
    /// The team's account, when this host is its home: the host that keeps the team's token bucket and lends
    /// tokens to the other hosts.
    allowance::team_home home;
    /// Loans from the team's home, when another host is home.
    allowance::borrower_account borrower;
    /// Authority deadline and catalog revision at the last update of this entry.
    common::time_point authority_deadline;
    std::uint64_t revision{0};
    /// Requests counted by their `spend_result`.
    std::uint64_t granted{0};
    std::uint64_t over_rate{0};
    std::uint64_t home_unreachable{0};
    /// Token requests sent to the home.
    std::uint64_t token_requests{0};
    /// Requests that had to wait for an answer of the home.
    std::uint64_t waiting_requests{0};
};

/// A generation that this host has received.
struct known_generation {
    std::shared_ptr<const membership::generation> members;
    common::time_point received_at;
    /// Set when this host learns that the generation is accepted.
    bool accepted{false};
    common::time_point accepted_at;
};

/// Shared table of the teams' token accounts and loans.
struct allowance_table {
    common::ranked_mutex mutex{common::lock_rank::allowance_table};
    /// Notified when a token request or a handover ends, answered or not.
    std::condition_variable_any answered;
    std::map<std::string, team_allowance, std::less<>> teams;
    /// Most recent generations, oldest first.
    std::vector<known_generation> generations;
    /// Home handovers that were sent and have not ended.
    int pending_handovers{0};
};

} // namespace lycheegap::host
