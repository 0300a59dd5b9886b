#include "team_homes.h"

#include <algorithm>
#include <mutex>
#include <utility>

#include "ask_home.h"
#include "core/allowance/home.h"
#include "core/common/log.h"
#include "handover_home.h"
#include "host_state.h"

namespace lycheegap::host {

namespace {

using common::monotonic;

/// A tenure as a team's home that began before the oldest generation kept counts from that generation.
constexpr std::size_t max_generations_kept = 16;

void record_generation(host_state& host, const allowance_view& view, common::time_point now) {
    auto& generations = host.allowances.generations;
    if (view.members->number > 0 &&
        (generations.empty() || generations.back().members->number < view.members->number)) {
        generations.push_back({view.members, now, false, {}});
    }
    if (generations.size() > max_generations_kept) {
        generations.erase(generations.begin());
    }
    for (auto& it : generations) {
        if (!it.accepted && it.members->number <= view.accepted) {
            it.accepted = true;
            it.accepted_at = now;
        }
    }
}

bool is_home_in(const host_state& host, const membership::generation& members, std::string_view team) {
    const auto* home = allowance::find_home(team, members);
    return home != nullptr && home->name == host.self.name && home->incarnation == host.self.incarnation;
}

std::optional<allowance::home_tenure> tenure_of(host_state& host, std::string_view team) {
    std::vector<allowance::home_period> periods;
    for (const auto& it : host.allowances.generations) {
        periods.push_back(
            {it.members->number, is_home_in(host, *it.members, team), it.accepted, it.accepted_at});
    }
    return allowance::find_tenure(periods);
}

/// Drops the team's tokens when authority had lapsed and the catalog has changed since: limits that this host
/// never saw may have been in force meanwhile.
void drop_tokens_after_lapse(team_allowance& team, const allowance_view& view, common::time_point now) {
    const bool lapsed = now >= team.authority_deadline;
    if (lapsed && team.revision != view.configuration->revision) {
        allowance::drop_loans(team.borrower);
        if (team.home.account) {
            allowance::empty_account(*team.home.account, now);
        }
    }
    team.authority_deadline = view.authority_deadline;
    team.revision = view.configuration->revision;
}

} // namespace

allowance_view read_allowance_view(host_state& host) {
    allowance_view view;
    view.configuration = current_catalog(host);
    view.members = current_generation(host);
    {
        const std::lock_guard guard(host.control.mutex);
        view.accepted = host.control.accepted ? host.control.accepted->members.number : 0;
    }
    {
        const std::lock_guard guard(host.authority.mutex);
        view.authority_deadline = host.authority.held.deadline;
    }
    // A leaving host uses the generation without itself before it has read it (see `hand_over_homes`).
    const std::lock_guard guard(host.allowances.mutex);
    const auto& generations = host.allowances.generations;
    if (!generations.empty() && generations.back().members->number > view.members->number) {
        view.members = generations.back().members;
    }
    return view;
}

allowance::team_limits limits_of(const catalog::team& team) {
    return {team.rate, team.burst};
}

allowance::loan_policy policy_of(const host_state& host, const catalog::configuration& configuration,
                                 const catalog::team& team) {
    allowance::loan_policy policy;
    policy.length = common::milliseconds(host.settings.allowance->loan_length);
    const auto found = configuration.templates.find(team.template_name);
    if (found != configuration.templates.end()) {
        policy.host_share = found->second.loan_percent / 100.0;
    }
    return policy;
}

bool is_own_home(const host_state& host, const allowance_view& view, std::string_view team) {
    return is_home_in(host, *view.members, team);
}

team_allowance& update_team(host_state& host, const allowance_view& view, const catalog::team& team,
                            common::time_point now) {
    record_generation(host, view, now);
    auto& entry = host.allowances.teams[team.name];
    drop_tokens_after_lapse(entry, view, now);
    const auto policy = policy_of(host, *view.configuration, team);
    auto closed =
        allowance::update_tenure(entry.home, tenure_of(host, team.name), limits_of(team), policy, now);
    if (closed) {
        send_handover(host, view, team.name, *closed, now);
    }
    allowance::apply_limits(entry.borrower, limits_of(team), now);
    return entry;
}

void refresh_allowances(host_state& host) {
    const auto view = read_allowance_view(host);
    for (const auto& [name, team] : view.configuration->teams) {
        {
            const std::lock_guard guard(host.allowances.mutex);
            update_team(host, view, team, monotonic::now());
        }
        request_tokens_if_due(host, name);
    }
}

} // namespace lycheegap::host
