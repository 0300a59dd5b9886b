#include "leave.h"

#include <mutex>

#include "core/common/log.h"
#include "generation_upkeep.h"
#include "handover.h"
#include "host_state.h"

namespace lycheegap::host {

namespace {

using common::field;
using common::milliseconds;
using common::monotonic;

/// Waits until no request waits or runs here, at most until `deadline`. Returns the number that is left.
std::size_t wait_until_idle(host_state& host, common::time_point deadline) {
    std::unique_lock guard(host.queues.mutex);
    host.queues.changed.wait_until(guard, deadline, [&] { return host.queues.active == 0; });
    return static_cast<std::size_t>(host.queues.active);
}

void wait_for_answers_to_expire(host_state& host, common::time_point until) {
    std::unique_lock guard(host.queues.mutex);
    while (monotonic::now() < until) {
        host.queues.changed.wait_until(guard, until);
    }
}

} // namespace

void drain_host(host_state& host) {
    const auto& settings = *host.settings.callers;
    if (settings.drain_time == 0) {
        return;
    }
    const auto began_at = monotonic::now();
    host.leaving = true;
    const bool marked = announce_leaving(host);
    common::log_info("leaving", {field("host", host.self.name), field("marked", marked)});
    wait_for_answers_to_expire(host, began_at + milliseconds(settings.drain_time));
    const auto left = wait_until_idle(host, monotonic::now() + milliseconds(settings.drain_limit));
    hand_over_outcomes(host);
    common::log_info("drained",
                     {field("host", host.self.name), field("requests_left", left),
                      field("duration_ms", common::milliseconds_between(began_at, monotonic::now()))});
}

} // namespace lycheegap::host
