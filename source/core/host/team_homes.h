#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "allowance_table.h"
#include "core/catalog/catalog.h"

namespace lycheegap::host {

struct host_state;

/// What a host knows when it acts on a team's tokens, read before the allowance table is locked.
struct allowance_view {
    std::shared_ptr<const catalog::configuration> configuration;
    std::shared_ptr<const membership::generation> members;
    common::time_point acts_until;
    /// Newest generation that is known to be accepted.
    std::uint64_t accepted{0};
};

/// Reads catalog, generation and authority.
allowance_view read_allowance_view(host_state& host);

/// Limits and loan policy of a team.
allowance::team_limits limits_of(const catalog::team& team);
allowance::loan_policy policy_of(const host_state& host, const catalog::configuration& configuration,
                                 const catalog::team& team);

/// The team's entry, brought up to date with generation, limits and authority. The allowance table must be
/// locked by the caller.
team_allowance& update_team(host_state& host, const allowance_view& view, const catalog::team& team,
                            common::time_point now);

/// Whether this incarnation is the team's home in the generation of the view.
bool is_own_home(const host_state& host, const allowance_view& view, std::string_view team);

/// Brings all teams up to date, sends what is due to other homes. Periodic.
void keep_allowances(host_state& host);

} // namespace lycheegap::host
