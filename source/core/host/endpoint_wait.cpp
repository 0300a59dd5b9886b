#include "endpoint_wait.h"

#include <algorithm>
#include <mutex>

#include "endpoint_use.h"
#include "host_state.h"

namespace lycheegap::host {

namespace {

using common::monotonic;

/// Endpoints also become usable without a notification: with time, or when other hosts' requests end.
constexpr auto recheck_interval = common::milliseconds(20);
/// Share of the request workers, and of a service's queue, that one team may occupy.
constexpr int team_share_percent = 50;
constexpr int percent = 100;

std::string team_name_of(const exchange& it) {
    return it.team != nullptr ? it.team->name : std::string();
}

execution::queue_limits queue_limits_of(const host_state& host) {
    execution::queue_limits limits;
    const auto workers = host.settings.callers->request_workers + host.settings.outcomes->forward_workers;
    limits.length = static_cast<std::size_t>(workers);
    limits.team_length = std::max<std::size_t>(1, limits.length * team_share_percent / percent);
    return limits;
}

common::time_point wait_deadline(const exchange& it) {
    if (it.match.rule->work == catalog::work_class::deferrable) {
        return it.deadline;
    }
    return std::min(it.deadline, monotonic::now() + common::milliseconds(it.match.owner->queue_timeout_ms));
}

std::optional<std::string> acquire_other_or_excluded(host_state& host, std::string_view service,
                                                     std::string_view excluded) {
    auto address = acquire_slot(host, service, excluded);
    if (!address && !excluded.empty()) {
        address = acquire_slot(host, service, "");
    }
    return address;
}

} // namespace

endpoint_wait_result wait_for_endpoint(host_state& host, const exchange& it, std::string_view excluded) {
    const auto until = wait_deadline(it);
    auto& table = host.queues;
    std::unique_lock guard(table.mutex);
    auto& queue = table.by_service[it.match.rule->service];
    queue.limits = queue_limits_of(host);
    const auto place = execution::enter_queue(queue, it.match.rule->work, team_name_of(it), until);
    if (!place) {
        return {std::nullopt, true};
    }
    for (auto now = monotonic::now(); now < until; now = monotonic::now()) {
        const auto next = execution::next_in_queue(queue, now);
        auto address = next && next->number == place->number
                           ? acquire_other_or_excluded(host, it.match.rule->service, excluded)
                           : std::nullopt;
        if (address) {
            execution::grant_place(queue, *place);
            table.changed.notify_all();
            return {std::move(address), false};
        }
        table.changed.wait_until(guard, std::min(until, now + recheck_interval));
    }
    execution::leave_queue(queue, *place);
    table.changed.notify_all();
    return {};
}

void release_slot_and_notify(host_state& host, const exchange& it, std::string_view address,
                             execution::attempt_result result, double latency_ms) {
    release_slot(host, it.match.rule->service, address, result, latency_ms);
    const std::lock_guard guard(host.queues.mutex);
    host.queues.changed.notify_all();
}

active_request_guard::active_request_guard(host_state& host, const exchange& it)
    : host_(&host), team_(team_name_of(it)) {
    const std::lock_guard guard(host.queues.mutex);
    auto& active = host.queues.active_by_team[team_];
    within_share_ =
        active < std::max(1, host.settings.callers->request_workers * team_share_percent / percent);
    ++active;
    ++host.queues.active;
}

active_request_guard::~active_request_guard() {
    const std::lock_guard guard(host_->queues.mutex);
    const auto it = host_->queues.active_by_team.find(team_);
    if (--it->second == 0) {
        host_->queues.active_by_team.erase(it);
    }
    --host_->queues.active;
    host_->queues.changed.notify_all();
}

bool active_request_guard::is_within_share() const {
    return within_share_;
}

} // namespace lycheegap::host
