#pragma once

#include <memory>
#include <optional>
#include <string>

#include "admission.h"
#include "call.h"

namespace lycheegap::gateway {

/// Outcome of one attempt at an endpoint, as far as it decides about retries.
enum class attempt_outcome : std::uint8_t {
    /// The endpoint responded; the response goes to the caller.
    answered,
    /// The endpoint responded with a server error (5xx) and may have run the request.
    failed,
    /// The endpoint did not run the request.
    not_run,
    /// There is no usable response; the request may have run.
    lost,
};

struct attempt_result {
    attempt_outcome outcome{attempt_outcome::not_run};
    /// Set for `answered` and `failed`.
    response_message response;
    /// Why the request was not answered, for logs; empty for `answered`.
    std::string reason;
    /// Meaningful unless `answered`.
    exchange_end ended_by{exchange_end::endpoint};
    /// For the body of the response.
    transport::memory_reservation memory{};
};

/// Why this host cancelled an attempt.
enum class cancel_reason : std::uint8_t { none, caller_left, answered_by_other, stopping, internal_error };

/// One attempt of a request. Accessed only on the strand of the caller's connection.
struct running_attempt {
    placed_call placed;
    /// Counts the attempts of the request from 1.
    std::size_t number{1};
    common::time_point sent_at;
    connection_ptr connection;
    /// The connection comes from the pool.
    bool kept_connection{false};
    /// How long it had been idle there.
    common::milliseconds rest{0};
    std::shared_ptr<const exchange_request> request;
    /// Id of the request among the endpoint's work; unused if it was placed by load.
    std::uint64_t work_id{0};
    cancel_reason cancelled{cancel_reason::none};
    /// Counted as ended at its endpoint.
    bool recorded{false};
    /// Set when the attempt has ended.
    std::optional<attempt_result> result;
};

using attempt_ptr = std::shared_ptr<running_attempt>;

/// Prepares an attempt at an endpoint, over a pooled connection if there is one, and counts it there.
/// `run_attempt` must follow.
attempt_ptr begin_attempt(gateway_state& state, const call& pending, const admitted_call& admitted,
                          placed_call placed, std::size_t number);

/// Sends the request and waits for the response until the request's deadline. Runs on the strand of the
/// caller's connection.
awaitable<attempt_result> run_attempt(gateway_state& state, call_ptr pending, const admitted_call& admitted,
                                      attempt_ptr it);

/// Ends an attempt whose `run_attempt` failed: its request may have run. Runs on the strand of the caller's
/// connection.
void end_failed_attempt(gateway_state& state, const call& pending, const admitted_call& admitted,
                        running_attempt& it);

/// Cancels an attempt that has not ended. Must run on the strand of the caller's connection.
void cancel_attempt(running_attempt& it, cancel_reason why);

} // namespace lycheegap::gateway
