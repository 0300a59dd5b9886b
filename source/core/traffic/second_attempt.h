#pragma once

#include <cstdint>
#include <string_view>

#include "core/common/clock.h"
#include "endpoint_set.h"

namespace lycheegap::traffic {

/// When the answer to an attempt that is sent at `sent_at` is overdue. The response may have been lost, which
/// only a timeout can detect.
common::time_point overdue_at(common::time_point sent_at, common::milliseconds target_latency);

/// A request whose answer is overdue, as far as it decides about a second attempt beside the running ones.
struct overdue_request {
    /// The request may run more than once.
    bool idempotent{false};
    /// This host is stopping.
    bool stopping{false};
    /// Attempts so far, and the route's limit of them.
    int attempts{0};
    int attempt_limit{1};
    /// The endpoint at work has answered other requests since this one was sent, and reported that requests
    /// wait there.
    bool waits_in_queue{false};
    /// More than half of the retry budget is left.
    bool has_spare_budget{false};
    common::milliseconds target_latency{0};
    /// Of the last attempt.
    common::time_point sent_at;
    /// No answer is due later than this.
    common::time_point response_deadline;
};

/// Whether to send an overdue request to a second endpoint, or why not.
enum class second_attempt : std::uint8_t {
    send,
    not_idempotent,
    attempt_limit,
    stopping,
    too_late,
    waits_in_queue,
    retry_budget,
    no_endpoint,
};

/// Decides by what holds at `now`; the running attempt goes on in any case. Whether an endpoint is free is
/// for the placement to find out.
second_attempt decide_second_attempt(const overdue_request& request, common::time_point now);

/// Whether the decision can change while the request is pending.
bool may_change(second_attempt decision);

/// Whether requests wait at the endpoint, by a recent report that it sent after `sent_at`.
bool reported_queue_since(const endpoint_state& endpoint, common::time_point sent_at, common::time_point now);

/// Name of an enumerator, for logs.
std::string_view second_attempt_name(second_attempt decision);

} // namespace lycheegap::traffic
