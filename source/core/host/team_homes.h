#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "allowance_table.h"
#include "core/catalog/catalog.h"

namespace lycheegap::host {

struct host_state;

/// What the accounting of a team's tokens is based on. Read before the allowance table is locked, since the
/// locks of the tables it comes from rank lower.
struct allowance_view {
    std::shared_ptr<const catalog::configuration> configuration;
    std::shared_ptr<const membership::generation> members;
    /// End of this host's authority.
    common::time_point authority_deadline;
    /// Number of the newest generation that is known to be accepted.
    std::uint64_t accepted{0};
};

/// Reads catalog, generation and authority. The caller holds none of the tables' locks.
allowance_view read_allowance_view(host_state& host);

/// Limits and loan policy of a team.
allowance::team_limits limits_of(const catalog::team& team);
allowance::loan_policy policy_of(const host_state& host, const catalog::configuration& configuration,
                                 const catalog::team& team);

/// Updates the team's entry to the view's generation, limits and authority and returns it. Opens or closes
/// the team's home account and sends a closed one to the next home. The caller holds the allowance table's
/// lock.
team_allowance& update_team(host_state& host, const allowance_view& view, const catalog::team& team,
                            common::time_point now);

/// Whether this incarnation is the team's home in the generation of the view.
bool is_own_home(const host_state& host, const allowance_view& view, std::string_view team);

/// Periodic task: updates the entries of all teams and sends the token requests that are due.
void refresh_allowances(host_state& host);

} // namespace lycheegap::host
