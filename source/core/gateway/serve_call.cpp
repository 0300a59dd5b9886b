#include "serve_call.h"

#include <algorithm>
#include <mutex>
#include <variant>

#include "admission.h"
#include "attempt.h"
#include "core/common/log.h"
#include "core/traffic/second_attempt.h"
#include "message_headers.h"
#include "refusal.h"
#include "task.h"
#include "team_rates.h"

namespace lycheegap::gateway {

namespace {

using common::field;
using common::monotonic;

constexpr unsigned int status_too_many = 429;
constexpr unsigned int status_bad_gateway = 502;
constexpr unsigned int status_unavailable = 503;
constexpr unsigned int status_timeout = 504;
// Shortest time between two decisions about a second attempt.
constexpr common::milliseconds min_decision_interval{100};

constexpr std::string_view stop_reason = "stopping";
constexpr std::string_view error_reason = "internal_error";
// After an error of this host's own.
constexpr common::milliseconds error_retry_after{1000};
// A caller that a stopping host refuses can use another host at once.
constexpr common::milliseconds stop_retry_after{0};

/// State of one admitted request over all its attempts.
struct call_progress {
    explicit call_progress(const connection_strand& executor) : timer(executor) {}

    admitted_call admitted;
    /// Ids of the endpoints tried so far, one for each attempt.
    std::vector<std::string> tried;
    /// Endpoint of the attempt that began or ended last.
    std::string last_endpoint;
    /// At least one attempt may have run the request.
    bool may_have_run{false};
    /// Last server error (5xx) of an endpoint; passed on to the caller if no attempt succeeds.
    std::optional<response_message> error_response;
    transport::memory_reservation error_memory;
    /// Why the last attempt failed, for the log.
    std::string last_reason;
    /// Cancelled when an attempt has ended; expires at `decision_due`.
    net::steady_timer timer;
    /// When to decide about a second attempt next.
    common::time_point decision_due{common::time_point::max()};
    std::optional<traffic::second_attempt> last_decision;
};

using progress_ptr = std::shared_ptr<call_progress>;

void log_call(gateway_state& state, const call& it, const call_progress* progress, std::string_view outcome) {
    const auto elapsed = common::milliseconds_between(it.arrived_at, monotonic::now());
    common::measure(state.metrics, "request_ms", static_cast<double>(elapsed));
    if (!may_log(state)) {
        return;
    }
    const bool known = progress != nullptr;
    common::log_info(
        "request",
        {field("request_id", to_view(it.request[state.options.headers.request_id])),
         field("outcome", outcome), field("status", it.response ? it.response->result_int() : 0),
         field("route", known ? progress->admitted.route->name : ""),
         field("team", known && progress->admitted.team != nullptr ? progress->admitted.team->name : ""),
         field("service", known ? progress->admitted.service : ""),
         field("version", known ? progress->admitted.config->version : 0),
         field("attempts", known ? progress->tried.size() : 0),
         field("endpoint", known ? progress->last_endpoint : ""), field("ms", elapsed),
         field("stopping", state.stopping.load()), field("reason", known ? progress->last_reason : "")});
}

/// Sets the final response, logs the request and wakes the writer of the connection.
void finish(gateway_state& state, caller_connection& caller, call& it, response_message response,
            const call_progress* progress, std::string_view outcome) {
    it.response = std::move(response);
    common::count(state.metrics, "requests_" + std::string(outcome));
    log_call(state, it, progress, outcome);
    caller.change_signal.cancel();
}

void refuse(gateway_state& state, caller_connection& caller, call& it, const refusal& why,
            const call_progress* progress) {
    finish(state, caller, it, make_refusal(why, it.request), progress, why.reason);
}

/// Whether this host is stopping and can't expect the answer before its end.
bool is_too_late(gateway_state& state, const admitted_call& it) {
    const auto plan = state.stopping ? current_stop_plan(state) : std::nullopt;
    return plan && !traffic::may_take(*plan,
                                      {.idempotent = it.route->idempotent,
                                       .target_latency = it.route->target_latency,
                                       .response_deadline = it.response_deadline},
                                      monotonic::now());
}

/// Response when no further attempt is made and no endpoint responded. A request that has surely not run is
/// refused as such, with a time to return.
refusal final_refusal(gateway_state& state, const call& it, const call_progress& progress) {
    const bool is_late = monotonic::now() >= progress.admitted.response_deadline;
    if (progress.may_have_run) {
        return is_late ? refusal{.status = status_timeout, .reason = "timed_out"}
                       : refusal{.status = status_bad_gateway, .reason = "endpoint_failed"};
    }
    if (is_too_late(state, progress.admitted)) {
        return {.reason = stop_reason, .retry_after = stop_retry_after};
    }
    return {.status = status_unavailable,
            .reason = is_late ? "timed_out" : "no_endpoint",
            .retry_after = suggested_retry_after(state, progress.admitted,
                                                 to_view(it.request[state.options.headers.request_id]))};
}

/// Why no further attempt may follow a failed one; empty if one may.
std::string_view retry_obstacle(gateway_state& state, const call_progress& progress) {
    const auto& route = *progress.admitted.route;
    if (static_cast<int>(progress.tried.size()) >= route.attempt_limit) {
        return "attempt_limit";
    }
    if (progress.may_have_run && !route.idempotent) {
        return "not_idempotent";
    }
    if (monotonic::now() >= progress.admitted.response_deadline) {
        return "response_deadline";
    }
    return is_too_late(state, progress.admitted) ? stop_reason : "";
}

void log_retry_refused(gateway_state& state, const call& it, const call_progress& progress,
                       std::string_view why) {
    if (!may_log(state)) {
        return;
    }
    common::log_info("retry_refused",
                     {field("request_id", to_view(it.request[state.options.headers.request_id])),
                      field("attempts", progress.tried.size()), field("why", why),
                      field("retries_left", retries_left(state, progress.admitted.service)),
                      field("stopping", state.stopping.load())});
}

/// Places a retry after all attempts have failed, and takes it from the retry budget; empty if there is none.
std::optional<placed_call> place_retry(gateway_state& state, const call& it, const call_progress& progress) {
    const auto refused = [&](std::string_view why) {
        log_retry_refused(state, it, progress, why);
        return std::nullopt;
    };
    if (const auto why = retry_obstacle(state, progress); !why.empty()) {
        return refused(why);
    }
    // A placement at a cold endpoint counts against its limit, so it must not be made in vain.
    if (retries_left(state, progress.admitted.service) < 1) {
        return refused("retry_budget");
    }
    auto placed = place_call(state, it, progress.admitted, progress.tried, slot_wait::allowed);
    if (!placed) {
        return refused("no_endpoint");
    }
    if (!take_retry(state, progress.admitted.service)) {
        return refused("retry_budget");
    }
    common::count(state.metrics, "second_sendings");
    return placed;
}

/// Runs a started attempt and wakes the request that waits for it.
awaitable<void> run_started(gateway_state& state, call_ptr it, progress_ptr progress, attempt_ptr one) {
    one->result = co_await run_attempt(state, it, progress->admitted, one);
    progress->timer.cancel();
}

void start_attempt(gateway_state& state, const caller_ptr& caller, const call_ptr& it,
                   const progress_ptr& progress, placed_call placed) {
    progress->tried.push_back(placed.entry.id);
    progress->last_endpoint = placed.entry.id;
    const auto one = begin_attempt(state, *it, progress->admitted, std::move(placed), progress->tried.size());
    it->running.push_back(one);
    it->may_have_run = true;
    progress->decision_due = traffic::overdue_at(one->sent_at, progress->admitted.route->target_latency);
    spawn_task(state, caller->strand, "run_attempt", run_started(state, it, progress, one),
               [&state, it, progress, one] {
                   end_failed_attempt(state, *it, progress->admitted, *one);
                   progress->timer.cancel();
               });
}

/// Applies the result of an attempt that has ended.
void apply_result(gateway_state& state, caller_connection& caller, call& it, call_progress& progress,
                  attempt_result result) {
    progress.last_reason = std::move(result.reason);
    if (result.outcome == attempt_outcome::answered) {
        it.response_memory = std::move(result.memory);
        finish(state, caller, it, forwarded_response(std::move(result.response), it.request), &progress,
               "answered");
        return;
    }
    if (result.outcome == attempt_outcome::failed) {
        progress.error_response = std::move(result.response);
        progress.error_memory = std::move(result.memory);
    }
    progress.may_have_run = progress.may_have_run || result.outcome != attempt_outcome::not_run;
}

/// Applies the results of all attempts that have ended, up to the first answer.
void collect_results(gateway_state& state, caller_connection& caller, call& it, call_progress& progress) {
    for (auto at = it.running.begin(); at != it.running.end() && !it.response;) {
        if (!(*at)->result) {
            ++at;
            continue;
        }
        auto result = std::move(*(*at)->result);
        progress.last_endpoint = (*at)->placed.entry.id;
        at = it.running.erase(at);
        apply_result(state, caller, it, progress, std::move(result));
    }
}

bool waits_in_queue(gateway_state& state, const call& it) {
    const std::lock_guard guard(state.endpoints.mutex);
    return std::any_of(it.running.begin(), it.running.end(), [now = monotonic::now()](const auto& one) {
        return traffic::reported_queue_since(*one->placed.endpoint, one->sent_at, now);
    });
}

void log_second_attempt(gateway_state& state, const call& it, const call_progress& progress) {
    if (!may_log(state)) {
        return;
    }
    common::log_info("second_attempt",
                     {field("request_id", to_view(it.request[state.options.headers.request_id])),
                      field("attempts", progress.tried.size()),
                      field("decision", traffic::second_attempt_name(*progress.last_decision)),
                      field("retries_left", retries_left(state, progress.admitted.service)),
                      field("stopping", state.stopping.load())});
}

/// Decides about a second attempt for an overdue request, and places it if it is to be sent. The running
/// attempt goes on, so that nothing is given up for an attempt that may fail.
std::optional<placed_call> place_second_attempt(gateway_state& state, const call& it,
                                                call_progress& progress) {
    const auto& admitted = progress.admitted;
    const auto now = monotonic::now();
    auto decision =
        traffic::decide_second_attempt({.idempotent = admitted.route->idempotent,
                                        .stopping = state.stopping,
                                        .attempts = static_cast<int>(progress.tried.size()),
                                        .attempt_limit = admitted.route->attempt_limit,
                                        .waits_in_queue = waits_in_queue(state, it),
                                        .has_spare_budget = has_retry_headroom(state, admitted.service),
                                        .target_latency = admitted.route->target_latency,
                                        .sent_at = it.running.back()->sent_at,
                                        .response_deadline = admitted.response_deadline},
                                       now);
    std::optional<placed_call> placed;
    if (decision == traffic::second_attempt::send) {
        placed = place_call(state, it, admitted, progress.tried, slot_wait::excluded);
        if (!placed) {
            decision = traffic::second_attempt::no_endpoint;
        } else if (!take_retry(state, admitted.service)) {
            decision = traffic::second_attempt::retry_budget;
            placed.reset();
        }
    }
    progress.decision_due = traffic::may_change(decision)
                                ? now + std::max(min_decision_interval, admitted.route->target_latency)
                                : common::time_point::max();
    if (progress.last_decision != decision) {
        progress.last_decision = decision;
        log_second_attempt(state, it, progress);
    }
    return placed;
}

/// Waits until the request is answered or all its attempts have failed; sends a second one meanwhile when the
/// answer is overdue.
awaitable<void> wait_for_answer(gateway_state& state, caller_ptr caller, call_ptr it, progress_ptr progress) {
    collect_results(state, *caller, *it, *progress);
    while (!it->response && !it->running.empty()) {
        if (it->abandoned) {
            progress->decision_due = common::time_point::max();
        } else if (monotonic::now() >= progress->decision_due) {
            if (auto placed = place_second_attempt(state, *it, *progress)) {
                common::count(state.metrics, "second_attempts");
                common::count(state.metrics, "second_sendings");
                start_attempt(state, caller, it, progress, std::move(*placed));
            }
        }
        co_await wait_until(progress->timer, progress->decision_due);
        collect_results(state, *caller, *it, *progress);
    }
    for (const auto& one : it->running) {
        cancel_attempt(*one, cancel_reason::answered_by_other);
    }
    it->running.clear();
}

/// Takes a token of the team's rate limit, unless the route needs no key. Returns the Retry-After time when
/// the team exceeds its rate, empty when the request may proceed.
awaitable<std::optional<common::milliseconds>> acquire_rate_token(gateway_state& state,
                                                                  const admitted_call& it) {
    if (it.team == nullptr || it.route->open) {
        co_return std::nullopt;
    }
    co_return co_await take_rate_token(state, *it.team);
}

/// Returns the rate token of a request that did not run.
void return_unused_token(gateway_state& state, const admitted_call& it) {
    if (it.team != nullptr && !it.route->open) {
        return_rate_token(state, *it.team);
    }
}

/// Makes attempts until one succeeds, no retry is allowed or the caller disconnects; then sets the response.
awaitable<void> run_attempts(gateway_state& state, caller_ptr caller, call_ptr it, progress_ptr progress) {
    auto placed = place_call(state, *it, progress->admitted, progress->tried, slot_wait::allowed);
    while (placed && !it->abandoned) {
        start_attempt(state, caller, it, progress, std::move(*placed));
        co_await wait_for_answer(state, caller, it, progress);
        placed = it->response || it->abandoned ? std::nullopt : place_retry(state, *it, *progress);
    }
    const bool may_have_run = progress->may_have_run || progress->error_response || it->response;
    if (!may_have_run && (!it->abandoned || progress->tried.empty())) {
        return_unused_token(state, progress->admitted);
    }
    if (it->abandoned) {
        common::count(state.metrics, "requests_abandoned");
        log_call(state, *it, progress.get(), "abandoned");
    } else if (!it->response && progress->error_response) {
        it->response_memory = std::move(progress->error_memory);
        finish(state, *caller, *it, forwarded_response(std::move(*progress->error_response), it->request),
               progress.get(), "endpoint_failure");
    } else if (!it->response) {
        refuse(state, *caller, *it, final_refusal(state, *it, *progress), progress.get());
    }
}

} // namespace

awaitable<void> serve_call(gateway_state& state, caller_ptr caller, call_ptr pending) {
    common::count(state.metrics, "requests");
    auto decision = admit_call(state, *pending);
    if (const auto* why = std::get_if<refusal>(&decision)) {
        refuse(state, *caller, *pending, *why, nullptr);
    } else {
        const auto progress = std::make_shared<call_progress>(caller->strand);
        progress->admitted = std::move(std::get<admitted_call>(decision));
        if (is_too_late(state, progress->admitted)) {
            refuse(state, *caller, *pending, {.reason = stop_reason, .retry_after = stop_retry_after},
                   progress.get());
            co_return;
        }
        const auto retry_after = co_await acquire_rate_token(state, progress->admitted);
        if (pending->response) {
            // Given up meanwhile.
            if (!retry_after) {
                return_unused_token(state, progress->admitted);
            }
        } else if (retry_after && pending->abandoned) {
            common::count(state.metrics, "requests_abandoned");
            log_call(state, *pending, progress.get(), "abandoned");
        } else if (retry_after) {
            refuse(state, *caller, *pending,
                   {.status = status_too_many, .reason = "rate", .retry_after = retry_after}, progress.get());
        } else if (is_too_late(state, progress->admitted)) {
            // The question to the team's home took the time that was left.
            return_unused_token(state, progress->admitted);
            refuse(state, *caller, *pending, {.reason = stop_reason, .retry_after = stop_retry_after},
                   progress.get());
        } else {
            co_await run_attempts(state, caller, pending, progress);
        }
    }
}

void give_up_call(gateway_state& state, caller_connection& caller, call& pending, give_up_reason why) {
    const bool stopping = why == give_up_reason::stopping;
    for (const auto& one : pending.running) {
        cancel_attempt(*one, stopping ? cancel_reason::stopping : cancel_reason::internal_error);
    }
    if (pending.response || pending.abandoned) {
        return;
    }
    const auto reason = stopping ? stop_reason : error_reason;
    if (pending.may_have_run) {
        refuse(state, caller, pending, {.status = status_bad_gateway, .reason = reason}, nullptr);
    } else {
        refuse(state, caller, pending,
               {.reason = reason, .retry_after = stopping ? stop_retry_after : error_retry_after}, nullptr);
    }
}

void abandon_call(call& pending) {
    pending.abandoned = true;
    for (const auto& one : pending.running) {
        cancel_attempt(*one, cancel_reason::caller_left);
    }
}

} // namespace lycheegap::gateway
