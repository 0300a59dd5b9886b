#include "spend.h"

#include <algorithm>
#include <mutex>
#include <optional>

#include "ask_home.h"
#include "host_state.h"
#include "team_homes.h"

namespace lycheegap::host {

namespace {

using common::monotonic;

spend_result spend_as_home(team_allowance& entry, common::time_point now) {
    if (!entry.home.account || now >= entry.acts_until) {
        return spend_result::home_unreachable;
    }
    return allowance::take_own(*entry.home.account, now) ? spend_result::granted : spend_result::over_rate;
}

/// The result when no question is needed.
std::optional<spend_result> spend_at_once(host_state& host, team_allowance& entry, common::time_point now) {
    if (now >= entry.acts_until) {
        return spend_result::home_unreachable;
    }
    if (entry.held.waiting == 0 && allowance::spend_held(entry.held, now)) {
        return spend_result::granted;
    }
    if (entry.held.waiting == 0 && now < entry.held.dry_until) {
        return spend_result::over_rate;
    }
    if (entry.held.waiting >= host.settings.allowance->waiter_limit) {
        return spend_result::home_unreachable;
    }
    return std::nullopt;
}

/// The result for a request that waits, or nothing as long as the question that counts it has no answer.
std::optional<spend_result> spend_after_wait(team_allowance& entry, std::uint64_t number,
                                             common::time_point now) {
    if (now < entry.acts_until && allowance::spend_held(entry.held, now)) {
        return spend_result::granted;
    }
    if (number <= entry.held.refused_through) {
        return spend_result::over_rate;
    }
    if (number <= entry.held.failed_through) {
        return spend_result::home_unreachable;
    }
    return std::nullopt;
}

spend_result wait_for_home(host_state& host, const catalog::team& team, common::time_point deadline) {
    const auto limit = monotonic::now() + common::milliseconds(host.settings.allowance->home_timeout);
    const auto until = std::min(deadline, limit);
    std::unique_lock guard(host.allowances.mutex);
    auto& entry = host.allowances.teams[team.name];
    const auto number = ++entry.held.last_waiter;
    ++entry.held.waiting;
    ++entry.waited;
    guard.unlock();
    ask_home_when_due(host, team.name);
    guard.lock();
    auto result = spend_after_wait(entry, number, monotonic::now());
    while (!result && monotonic::now() < until) {
        host.allowances.answered.wait_until(guard, until);
        result = spend_after_wait(entry, number, monotonic::now());
    }
    --entry.held.waiting;
    return result.value_or(spend_result::home_unreachable);
}

spend_result spend_as_borrower(host_state& host, const allowance_view& view, const catalog::team& team,
                               common::time_point deadline) {
    std::optional<spend_result> result;
    {
        const std::lock_guard guard(host.allowances.mutex);
        const auto now = monotonic::now();
        auto& entry = update_team(host, view, team, now);
        allowance::count_demand(entry.held, now);
        result = spend_at_once(host, entry, now);
    }
    if (result) {
        ask_home_when_due(host, team.name);
        return *result;
    }
    const auto began_at = monotonic::now();
    const auto waited = wait_for_home(host, team, deadline);
    common::measure(host.metrics, "home_wait_ms", common::seconds_between(began_at, monotonic::now()) * 1000);
    return waited;
}

void count_spend(host_state& host, const catalog::team& team, spend_result result) {
    const std::lock_guard guard(host.allowances.mutex);
    auto& counted = host.allowances.teams[team.name];
    counted.admitted += result == spend_result::granted ? 1 : 0;
    counted.refused += result == spend_result::over_rate ? 1 : 0;
    counted.unreachable += result == spend_result::home_unreachable ? 1 : 0;
}

} // namespace

spend_result spend_token(host_state& host, const catalog::team& team, common::time_point deadline) {
    const auto view = read_allowance_view(host);
    // The caller's copy of the team may be older than the catalog that all other questions use.
    const auto found = view.configuration->teams.find(team.name);
    if (found == view.configuration->teams.end()) {
        return spend_result::over_rate;
    }
    spend_result result = spend_result::home_unreachable;
    if (is_own_home(host, view, team.name)) {
        const std::lock_guard guard(host.allowances.mutex);
        const auto now = monotonic::now();
        result = spend_as_home(update_team(host, view, found->second, now), now);
    } else {
        result = spend_as_borrower(host, view, found->second, deadline);
    }
    count_spend(host, team, result);
    return result;
}

} // namespace lycheegap::host
