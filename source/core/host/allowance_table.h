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

/// What this host holds and has counted for one team.
struct team_allowance {
    allowance::team_home home;
    allowance::borrower_account held;
    /// Authority deadline and catalog revision as last seen for this team.
    common::time_point acts_until;
    std::uint64_t revision{0};
    std::uint64_t admitted{0};
    std::uint64_t refused{0};
    std::uint64_t unreachable{0};
    std::uint64_t asked{0};
    std::uint64_t waited{0};
};

/// One generation as this host took it.
struct taken_generation {
    std::shared_ptr<const membership::generation> members;
    common::time_point taken_at;
    bool accepted{false};
    common::time_point accepted_at;
};

/// Buckets and loans of all teams.
struct allowance_table {
    common::ranked_mutex mutex{common::lock_rank::allowance_table};
    /// Some question or handover has its answer.
    std::condition_variable_any answered;
    std::map<std::string, team_allowance, std::less<>> teams;
    /// Oldest first.
    std::vector<taken_generation> generations;
    /// Handovers on their way.
    int handovers{0};
};

} // namespace lycheegap::host
