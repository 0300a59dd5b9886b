#include "second_attempt.h"

#include <algorithm>

namespace lycheegap::traffic {

namespace {

// Serving an object that the endpoint has not cached takes up to twice the target latency, and the request
// may wait for a slot before.
constexpr int overdue_factor = 3;
constexpr common::milliseconds min_overdue{800};
// An endpoint that has stopped since its last report must not be waited for as one that queues.
constexpr common::milliseconds queue_report_validity{1000};

} // namespace

common::time_point overdue_at(common::time_point sent_at, common::milliseconds target_latency) {
    return sent_at + std::max(min_overdue, target_latency * overdue_factor);
}

second_attempt decide_second_attempt(const overdue_request& request, common::time_point now) {
    if (!request.idempotent) {
        return second_attempt::not_idempotent;
    }
    if (request.attempts >= request.attempt_limit) {
        return second_attempt::attempt_limit;
    }
    if (request.stopping) {
        return second_attempt::stopping;
    }
    if (now + request.target_latency > request.response_deadline) {
        return second_attempt::too_late;
    }
    // A response that was lost does not come however long the queue is waited for.
    const auto overdue = overdue_at(request.sent_at, request.target_latency);
    if (request.waits_in_queue && now < overdue + (overdue - request.sent_at)) {
        return second_attempt::waits_in_queue;
    }
    return request.has_spare_budget ? second_attempt::send : second_attempt::retry_budget;
}

bool may_change(second_attempt decision) {
    return decision == second_attempt::waits_in_queue || decision == second_attempt::retry_budget ||
           decision == second_attempt::no_endpoint;
}

bool reported_queue_since(const endpoint_state& endpoint, common::time_point sent_at,
                          common::time_point now) {
    return endpoint.last_report_at > sent_at && now - endpoint.last_report_at <= queue_report_validity &&
           endpoint.last_report.waiting > 0;
}

std::string_view second_attempt_name(second_attempt decision) {
    switch (decision) {
    case second_attempt::send:
        return "send";
    case second_attempt::not_idempotent:
        return "not_idempotent";
    case second_attempt::attempt_limit:
        return "attempt_limit";
    case second_attempt::stopping:
        return "stopping";
    case second_attempt::too_late:
        return "too_late";
    case second_attempt::waits_in_queue:
        return "waits_in_queue";
    case second_attempt::retry_budget:
        return "retry_budget";
    case second_attempt::no_endpoint:
        return "no_endpoint";
    }
    return "unknown";
}

} // namespace lycheegap::traffic
