#pragma once

#include "core/common/clock.h"

namespace lycheegap::traffic {

/// Deadlines of a host's graceful stop, in order.
struct stop_plan {
    /// Idle connections of callers are closed.
    common::time_point idle_close_at;
    /// The listener is closed, and no further request is read from open connections.
    common::time_point intake_end;
    /// Requests that are still in flight are cut.
    common::time_point drain_end;
};

/// The plan of a stop that begins at `now` and may take `length`.
stop_plan plan_stop(common::time_point now, common::milliseconds length);

/// A request as far as it decides whether a stopping host may take it.
struct stop_candidate {
    /// The request may run more than once.
    bool idempotent{false};
    common::milliseconds target_latency{0};
    /// No answer is due later than this.
    common::time_point response_deadline;
};

/// Whether a stopping host may pass the request on: its answer can be expected before the drain ends.
/// Otherwise it is to be refused, so that the caller can use another host.
bool may_take(const stop_plan& plan, const stop_candidate& request, common::time_point now);

} // namespace lycheegap::traffic
