#pragma once

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
};

/// Sends the request to one endpoint, over a pooled connection if there is one, and waits for the response
/// until the request's deadline or, unless this host is stopping, until `early_deadline`. `number` counts the
/// attempts of the request from 1. Runs on the strand of the caller's connection.
awaitable<attempt_result> attempt(gateway_state& state, call_ptr pending, const admitted_call& admitted,
                                  placed_call placed, std::optional<common::time_point> early_deadline,
                                  std::size_t number);

/// Closes pooled connections whose idle timeout has passed, including those of removed endpoints.
void prune_endpoint_connections(gateway_state& state);

} // namespace lycheegap::gateway
