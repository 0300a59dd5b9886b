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

bool is_replaced(const execution::header& header) {
    return execution::same_name(header.name, "host") || execution::same_name(header.name, "connection") ||
           execution::same_name(header.name, "content-length") ||
           execution::same_name(header.name, "transfer-encoding") ||
           execution::same_name(header.name, "expect") ||
           execution::same_name(header.name, request_id_header) ||
           execution::same_name(header.name, deadline_header);
}

execution::request_head head_for_endpoint(const exchange& it) {
    auto head = it.head;
    std::erase_if(head.headers, is_replaced);
    head.headers.push_back({std::string(request_id_header), it.request_id});
    const auto left = std::max<std::int64_t>(0, common::milliseconds_between(monotonic::now(), it.deadline));
    head.headers.push_back({std::string(deadline_header), std::to_string(left)});
    return head;
}

attempt_result classify(const transport::http_result& result) {
    if (!result.response) {
        return result.may_have_left ? attempt_result::lost : attempt_result::not_sent;
    }
    const bool shed = !execution::find_header(result.response->headers, shed_header).empty();
    return shed ? attempt_result::shed : attempt_result::answered;
}

struct attempt_end {
    attempt_result result{attempt_result::not_sent};
    std::optional<http_response> response;
};

attempt_end attempt_at(host_state& host, const exchange& it, const std::string& address) {
    const auto began_at = monotonic::now();
    transport::http_call call{address, head_for_endpoint(it), it.body, it.deadline};
    auto outcome = transport::call_http(host.endpoint_connections, call);
    const auto result = classify(outcome);
    const double latency_ms = common::seconds_between(began_at, monotonic::now()) * 1000;
    release_endpoint(host, it, address, result, latency_ms);
    if (outcome.response) {
        learn_from_head(host, address, outcome.response->headers);
    }
    if (result != attempt_result::answered) {
        common::log_warning("attempt_failed", {field("request", it.request_id), field("endpoint", address),
                                               field("reason", common::last_reason().text)});
    }
    return {result, std::move(outcome.response)};
}

/// Only this host says how a request ended.
served pass_answer(http_response answer) {
    std::erase_if(answer.headers, [](const execution::header& header) {
        return execution::same_name(header.name, outcome_header);
    });
    return {std::move(answer), execution::outcome_state::answered};
}

const execution::retry_limits limits_of_retries;

/// Takes a retry out of the budget and tells how long to pause first; empty when none is left.
std::optional<common::milliseconds> take_retry(host_state& host, int retry) {
    const std::lock_guard guard(host.queues.mutex);
    if (!execution::spend_retry(host.queues.budget)) {
        return std::nullopt;
    }
    return execution::retry_pause(limits_of_retries, retry, host.queues.random);
}

void earn_retry(host_state& host) {
    const std::lock_guard guard(host.queues.mutex);
    execution::earn_retry(host.queues.budget, limits_of_retries);
}

void pause_until(common::time_point until) {
    common::ranked_mutex mutex{common::lock_rank::leaf};
    std::condition_variable_any nobody_notifies;
    std::unique_lock guard(mutex);
    while (monotonic::now() < until) {
        nobody_notifies.wait_until(guard, until);
    }
}

/// Pauses before a retry; false when there is no budget or no time for one.
bool pause_for_retry(host_state& host, const exchange& it, int retry) {
    const auto pause = take_retry(host, retry);
    const auto until = monotonic::now() + pause.value_or(common::milliseconds(0));
    if (!pause || until >= it.deadline) {
        common::count(host.metrics, "retries_denied");
        return false;
    }
    common::count(host.metrics, "retries");
    pause_until(until);
    return true;
}

served refuse_unserved(host_state& host, const exchange& it, bool may_have_run) {
    const auto* text = may_have_run ? "the endpoint's answer was lost" : "no endpoint took the request";
    return refuse(host, it, refusal_reason::endpoint, may_have_run, text);
}

served run_attempts(host_state& host, const exchange& it) {
    execution::attempt_state state{it.match.rule->work, 0, it.match.source->attempt_limit, it.deadline,
                                   false};
    std::string tried;
    earn_retry(host);
    while (true) {
        const auto turn = wait_for_endpoint(host, it, tried);
        if (!turn.address) {
            const auto* text = turn.queue_full ? "the queue is full" : "no endpoint became free in time";
            return refuse(host, it, refusal_reason::queue, state.may_have_run, text);
        }
        auto end = attempt_at(host, it, *turn.address);
        const auto next = execution::after_attempt(state, end.result, monotonic::now());
        if (next == next_action::pass_answer) {
            return pass_answer(std::move(*end.response));
        }
        if (next != next_action::try_again || !pause_for_retry(host, it, state.attempts_made)) {
            return refuse_unserved(host, it, state.may_have_run);
        }
        tried = *turn.address;
    }
}

} // namespace

served run_exchange(host_state& host, const exchange& it) {
    const busy_mark busy(host, it);
    if (!busy.is_within()) {
        return refuse(host, it, refusal_reason::queue, false, "the team holds its share of this host");
    }
    if (auto refused = spend(host, it)) {
        return std::move(*refused);
    }
    auto end = run_attempts(host, it);
    common::measure(host.metrics, "request_ms",
                    common::seconds_between(it.arrived_at, monotonic::now()) * 1000);
    common::log_debug("request_served",
                      {field("request", it.request_id), field("status", end.response.status)});
    return end;
}

} // namespace lycheegap::host
