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
    if (!entry.home.account || now >= entry.authority_deadline) {
        return spend_result::home_unreachable;
    }
    return allowance::take_token(*entry.home.account, now) ? spend_result::granted : spend_result::over_rate;
}

/// The result when the request need not wait for the home.
std::optional<spend_result> spend_without_waiting(host_state& host, team_allowance& entry,
                                                  common::time_point now) {
    if (now >= entry.authority_deadline) {
        return spend_result::home_unreachable;
    }
    if (entry.borrower.waiting == 0 && allowance::spend_held(entry.borrower, now)) {
        return spend_result::granted;
    }
    if (entry.borrower.waiting == 0 && now < entry.borrower.no_tokens_until) {
        return spend_result::over_rate;
    }
    if (entry.borrower.waiting >= host.settings.allowance->waiter_limit) {
        return spend_result::home_unreachable;
    }
    return std::nullopt;
}

/// The result for a waiting request. Empty while this host holds no token and the token request that counts
/// the waiting request has neither been answered nor failed.
std::optional<spend_result> find_waiter_result(team_allowance& entry, std::uint64_t waiter_number,
                                               common::time_point now) {
    if (now < entry.authority_deadline && allowance::spend_held(entry.borrower, now)) {
        return spend_result::granted;
    }
    if (waiter_number <= entry.borrower.refused_through) {
        return spend_result::over_rate;
    }
    if (waiter_number <= entry.borrower.failed_through) {
        return spend_result::home_unreachable;
    }
    return std::nullopt;
}

spend_result wait_for_home(host_state& host, const catalog::team& team, common::time_point deadline) {
    const auto home_deadline = monotonic::now() + common::milliseconds(host.settings.allowance->home_timeout);
    const auto until = std::min(deadline, home_deadline);
    std::unique_lock guard(host.allowances.mutex);
    auto& entry = host.allowances.teams[team.name];
    const auto waiter_number = ++entry.borrower.last_waiter;
    ++entry.borrower.waiting;
    ++entry.waiting_requests;
    guard.unlock();
    request_tokens_if_due(host, team.name);
    guard.lock();
    auto result = find_waiter_result(entry, waiter_number, monotonic::now());
    while (!result && monotonic::now() < until) {
        host.allowances.answered.wait_until(guard, until);
        result = find_waiter_result(entry, waiter_number, monotonic::now());
    }
    --entry.borrower.waiting;
    return result.value_or(spend_result::home_unreachable);
}

spend_result spend_as_borrower(host_state& host, const allowance_view& view, const catalog::team& team,
                               common::time_point deadline) {
    std::optional<spend_result> result;
    {
        const std::lock_guard guard(host.allowances.mutex);
        const auto now = monotonic::now();
        auto& entry = update_team(host, view, team, now);
        allowance::count_demand(entry.borrower, now);
        result = spend_without_waiting(host, entry, now);
    }
    if (result) {
        request_tokens_if_due(host, team.name);
        return *result;
    }
    const auto began_at = monotonic::now();
    const auto waited = wait_for_home(host, team, deadline);
    common::measure(host.metrics, "home_wait_ms", common::seconds_between(began_at, monotonic::now()) * 1000);
    return waited;
}

void count_spend(host_state& host, const catalog::team& team, spend_result result) {
    const std::lock_guard guard(host.allowances.mutex);
    auto& entry = host.allowances.teams[team.name];
    entry.granted += result == spend_result::granted ? 1 : 0;
    entry.over_rate += result == spend_result::over_rate ? 1 : 0;
    entry.home_unreachable += result == spend_result::home_unreachable ? 1 : 0;
}

} // namespace

spend_result spend_token(host_state& host, const catalog::team& team, common::time_point deadline) {
    const auto view = read_allowance_view(host);
    // `team` may come from an older catalog than the view, on which the rest of the accounting works.
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
