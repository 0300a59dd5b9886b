#include "attempts.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>

#include "admission.h"
#include "core/common/last_reason.h"
#include "core/common/log.h"
#include "core/execution/attempt.h"
#include "core/execution/retry.h"
#include "endpoint_use.h"
#include "endpoint_wait.h"
#include "host_state.h"

namespace lycheegap::host {

namespace {

using common::field;
using common::monotonic;
using execution::attempt_result;
using execution::next_action;
using transport::http_response;

constexpr std::string_view shed_header = "x-shed";

bool is_replaced_header(const execution::header& header) {
    return execution::equals_ignoring_case(header.name, "host") ||
           execution::equals_ignoring_case(header.name, "connection") ||
           execution::equals_ignoring_case(header.name, "content-length") ||
           execution::equals_ignoring_case(header.name, "transfer-encoding") ||
           execution::equals_ignoring_case(header.name, "expect") ||
           execution::equals_ignoring_case(header.name, request_id_header) ||
           execution::equals_ignoring_case(header.name, deadline_header);
}

execution::request_head head_for_endpoint(const exchange& it) {
    auto head = it.head;
    std::erase_if(head.headers, is_replaced_header);
    head.headers.push_back({std::string(request_id_header), it.request_id});
    const auto left = std::max<std::int64_t>(0, common::milliseconds_between(monotonic::now(), it.deadline));
    head.headers.push_back({std::string(deadline_header), std::to_string(left)});
    return head;
}

attempt_result classify(const transport::http_result& result) {
    if (!result.response) {
        return result.may_have_been_sent ? attempt_result::lost : attempt_result::not_sent;
    }
    const bool shed = !execution::find_header(result.response->headers, shed_header).empty();
    return shed ? attempt_result::shed : attempt_result::answered;
}

struct attempt_outcome {
    attempt_result result{attempt_result::not_sent};
    std::optional<http_response> response;
};

attempt_outcome send_attempt(host_state& host, const exchange& it, const std::string& address) {
    const auto began_at = monotonic::now();
    transport::http_call call{address, head_for_endpoint(it), it.body, it.deadline};
    auto outcome = transport::call_http(host.endpoint_connections, call);
    const auto result = classify(outcome);
    const double latency_ms = common::seconds_between(began_at, monotonic::now()) * 1000;
    release_slot_and_notify(host, it, address, result, latency_ms);
    if (outcome.response) {
        apply_answer_headers(host, address, outcome.response->headers);
    }
    if (result != attempt_result::answered) {
        common::log_warning("attempt_failed", {field("request", it.request_id), field("endpoint", address),
                                               field("reason", common::last_reason().text)});
    }
    return {result, std::move(outcome.response)};
}

/// Passes an endpoint's answer on without an x-outcome header of its own: only this host reports the outcome.
exchange_result make_answered_result(http_response answer) {
    std::erase_if(answer.headers, [](const execution::header& header) {
        return execution::equals_ignoring_case(header.name, outcome_header);
    });
    return {std::move(answer), execution::outcome_state::answered};
}

const execution::retry_limits default_retry_limits;

/// Spends one retry of the budget. Returns the pause before that retry; empty when the budget is used up.
std::optional<common::milliseconds> try_spend_retry(host_state& host, int retry_number) {
    const std::lock_guard guard(host.queues.mutex);
    if (!execution::try_withdraw_retry(host.queues.budget)) {
        return std::nullopt;
    }
    return execution::retry_pause(default_retry_limits, retry_number, host.queues.random);
}

void earn_retry(host_state& host) {
    const std::lock_guard guard(host.queues.mutex);
    execution::deposit_retry(host.queues.budget, default_retry_limits);
}

void pause_until(common::time_point until) {
    common::ranked_mutex mutex{common::lock_rank::leaf};
    std::condition_variable_any never_notified;
    std::unique_lock guard(mutex);
    while (monotonic::now() < until) {
        never_notified.wait_until(guard, until);
    }
}

/// Pauses before a retry. False when the budget is used up or the pause would pass the request's deadline.
bool pause_for_retry(host_state& host, const exchange& it, int retry_number) {
    const auto pause = try_spend_retry(host, retry_number);
    const auto until = monotonic::now() + pause.value_or(common::milliseconds(0));
    if (!pause || until >= it.deadline) {
        common::count(host.metrics, "retries_denied");
        return false;
    }
    common::count(host.metrics, "retries");
    pause_until(until);
    return true;
}

exchange_result refuse_unserved(host_state& host, const exchange& it, bool may_have_run) {
    const auto* text = may_have_run ? "the endpoint's answer was lost" : "no endpoint took the request";
    return refuse(host, it, refusal_reason::endpoint, may_have_run, text);
}

exchange_result run_attempts(host_state& host, const exchange& it) {
    execution::attempt_state state{it.match.rule->work, 0, it.match.owner->attempt_limit, it.deadline, false};
    std::string excluded_address;
    earn_retry(host);
    while (true) {
        const auto waited = wait_for_endpoint(host, it, excluded_address);
        if (!waited.address) {
            const auto* text = waited.queue_full ? "the queue is full" : "no endpoint became free in time";
            return refuse(host, it, refusal_reason::queue, state.may_have_run, text);
        }
        auto outcome = send_attempt(host, it, *waited.address);
        const auto next = execution::after_attempt(state, outcome.result, monotonic::now());
        if (next == next_action::pass_answer) {
            return make_answered_result(std::move(*outcome.response));
        }
        if (next != next_action::try_again || !pause_for_retry(host, it, state.attempts_made)) {
            return refuse_unserved(host, it, state.may_have_run);
        }
        excluded_address = *waited.address;
    }
}

} // namespace

exchange_result run_exchange(host_state& host, const exchange& it) {
    const active_request_guard active(host, it);
    if (!active.is_within_share()) {
        return refuse(host, it, refusal_reason::queue, false, "the team holds its share of this host");
    }
    if (auto refused = check_authority_and_rate(host, it)) {
        return std::move(*refused);
    }
    auto outcome = run_attempts(host, it);
    common::measure(host.metrics, "request_ms",
                    common::seconds_between(it.arrived_at, monotonic::now()) * 1000);
    common::log_debug("request_served",
                      {field("request", it.request_id), field("status", outcome.response.status)});
    return outcome;
}

} // namespace lycheegap::host
