#include "serve_call.h"

#include <algorithm>
#include <mutex>
#include <variant>

#include "admission.h"
#include "attempt.h"
#include "core/common/log.h"
#include "message_headers.h"
#include "refusal.h"
#include "team_rates.h"

namespace lycheegap::gateway {

namespace {

using common::field;
using common::monotonic;

constexpr unsigned int status_too_many = 429;
constexpr unsigned int status_bad_gateway = 502;
constexpr unsigned int status_unavailable = 503;
constexpr unsigned int status_timeout = 504;
// Timeout of an attempt that may be followed by another one, in multiples of the route's target latency.
// Serving an object that the endpoint has not cached takes up to twice the target latency, and the request
// may wait for a slot before.
constexpr int attempt_timeout_factor = 3;
constexpr common::milliseconds min_attempt_timeout{800};

// A caller that a stopping host refuses can use another host at once.
constexpr common::milliseconds stop_retry_after{0};

/// State of one admitted request over all its attempts.
struct call_progress {
    admitted_call admitted;
    /// Ids of the endpoints tried so far, one for each attempt.
    std::vector<std::string> tried;
    /// At least one attempt may have run the request.
    bool may_have_run{false};
    /// Last server error (5xx) of an endpoint; passed on to the caller if no attempt succeeds.
    std::optional<response_message> error_response;
    /// Why the last attempt failed, for the log.
    std::string last_reason;
};

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
         field("endpoint", known && !progress->tried.empty() ? progress->tried.back() : ""),
         field("ms", elapsed), field("stopping", state.stopping.load()),
         field("reason", known ? progress->last_reason : "")});
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

/// Response when no further attempt is made and no endpoint responded.
refusal final_refusal(const call_progress& progress) {
    if (monotonic::now() >= progress.admitted.response_deadline) {
        return {.status = progress.may_have_run ? status_timeout : status_unavailable, .reason = "timed_out"};
    }
    if (progress.may_have_run) {
        return {.status = status_bad_gateway, .reason = "endpoint_failed"};
    }
    return {.status = status_unavailable,
            .reason = "no_endpoint",
            .retry_after = suggested_retry_after(progress.admitted)};
}

/// Why no further attempt is made; empty if one is allowed, which is then taken from the retry budget.
std::string_view acquire_retry(gateway_state& state, const call_progress& progress) {
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
    return take_retry(state, progress.admitted.service) ? "" : "retry_budget";
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

/// Time at which the next attempt is given up for another one; empty to wait for the response in full. A lost
/// response can only be detected by a timeout: an idempotent request gets a short one, so that it can be
/// retried while its caller still waits, provided that more than half of the retry budget is left.
std::optional<common::time_point> early_deadline(gateway_state& state, const call_progress& progress) {
    const auto& route = *progress.admitted.route;
    const auto due = progress.admitted.response_deadline;
    const bool is_last = static_cast<int>(progress.tried.size()) + 1 >= route.attempt_limit;
    const auto early =
        monotonic::now() + std::max(min_attempt_timeout, route.target_latency * attempt_timeout_factor);
    if (!route.idempotent || is_last || early + route.target_latency > due ||
        !has_retry_headroom(state, progress.admitted.service)) {
        return std::nullopt;
    }
    return early;
}

/// Makes one attempt; true when `it` has its final response.
awaitable<bool> run_attempt(gateway_state& state, caller_ptr caller, call_ptr it,
                            std::shared_ptr<call_progress> progress, placed_call placed) {
    const auto early = early_deadline(state, *progress);
    progress->tried.push_back(placed.entry.id);
    auto result =
        co_await attempt(state, it, progress->admitted, std::move(placed), early, progress->tried.size());
    progress->last_reason = result.reason;
    if (result.outcome == attempt_outcome::answered) {
        finish(state, *caller, *it, forwarded_response(std::move(result.response), it->request),
               progress.get(), "answered");
        co_return true;
    }
    if (result.outcome == attempt_outcome::failed) {
        progress->error_response = std::move(result.response);
    }
    progress->may_have_run = progress->may_have_run || result.outcome != attempt_outcome::not_run;
    co_return false;
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
awaitable<void> run_attempts(gateway_state& state, caller_ptr caller, call_ptr it,
                             std::shared_ptr<call_progress> progress) {
    while (!it->abandoned) {
        auto placed = place_call(state, progress->admitted, progress->tried);
        if (!placed) {
            if (!progress->tried.empty()) {
                log_retry_refused(state, *it, *progress, "no_endpoint");
            }
            break;
        }
        const bool answered = co_await run_attempt(state, caller, it, progress, std::move(*placed));
        if (answered || it->abandoned) {
            break;
        }
        if (const auto why = acquire_retry(state, *progress); !why.empty()) {
            log_retry_refused(state, *it, *progress, why);
            break;
        }
        common::count(state.metrics, "second_sendings");
    }
    const bool may_have_run = progress->may_have_run || progress->error_response || it->response;
    if (!may_have_run && (!it->abandoned || progress->tried.empty())) {
        return_unused_token(state, progress->admitted);
    }
    if (it->abandoned) {
        common::count(state.metrics, "requests_abandoned");
        log_call(state, *it, progress.get(), "abandoned");
    } else if (!it->response && progress->error_response) {
        finish(state, *caller, *it, forwarded_response(std::move(*progress->error_response), it->request),
               progress.get(), "endpoint_failure");
    } else if (!it->response) {
        refuse(state, *caller, *it, final_refusal(*progress), progress.get());
    }
}

} // namespace

awaitable<void> serve_call(gateway_state& state, caller_ptr caller, call_ptr pending) {
    common::count(state.metrics, "requests");
    auto decision = admit_call(state, *pending);
    if (const auto* why = std::get_if<refusal>(&decision)) {
        refuse(state, *caller, *pending, *why, nullptr);
    } else {
        const auto progress = std::make_shared<call_progress>();
        progress->admitted = std::move(std::get<admitted_call>(decision));
        if (is_too_late(state, progress->admitted)) {
            refuse(state, *caller, *pending, {.reason = "stopping", .retry_after = stop_retry_after},
                   progress.get());
            --state.requests_in_flight;
            co_return;
        }
        const auto retry_after = co_await acquire_rate_token(state, progress->admitted);
        if (retry_after && !pending->abandoned) {
            refuse(state, *caller, *pending,
                   {.status = status_too_many, .reason = "rate", .retry_after = retry_after}, progress.get());
        } else {
            co_await run_attempts(state, caller, pending, progress);
        }
    }
    --state.requests_in_flight;
}

void abandon_call(call& pending) {
    pending.abandoned = true;
    if (pending.active_connection) {
        cancel_exchange(pending.active_connection);
    }
}

} // namespace lycheegap::gateway
