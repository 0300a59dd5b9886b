#pragma once

#include <optional>

#include "core/common/clock.h"

namespace lycheegap::traffic {

/// Deadlines of a host's graceful stop, in order.
struct stop_plan {
    /// From then on, idle connections of callers are closed.
    common::time_point idle_close_at;
    /// The listener is closed, and no further request is read from open connections.
    common::time_point intake_end;
    /// Requests that are not answered yet are given up, so that answers that wait behind them can be
    /// delivered.
    common::time_point drain_end;
    /// The host ends, with what has been delivered until then.
    common::time_point flush_end;
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

/// How far a stopping host has come after its intake has ended.
struct drain_progress {
    /// Since when nothing has been in flight; empty while something is.
    std::optional<common::time_point> idle_since;
};

/// Records how many requests are in flight, those included that are still being read.
void note_in_flight(drain_progress& it, int in_flight, common::time_point now);

/// Whether the host may end: its time is over, or nothing has been in flight for long enough
/// that the last responses are written.
bool may_end(const stop_plan& plan, const drain_progress& it, common::time_point now);

} // namespace lycheegap::traffic
