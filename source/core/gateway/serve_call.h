#pragma once

#include "call.h"
#include "caller_connection.h"
#include "gateway_state.h"

namespace lycheegap::gateway {

/// Serves one request: admits it, sends it to an endpoint, retries where that is allowed, and stores the
/// response in `pending`. Runs on the strand of the caller's connection.
awaitable<void> serve_call(gateway_state& state, caller_ptr caller, call_ptr pending);

/// Why this host ends its work on a request without an answer of an endpoint.
enum class give_up_reason : std::uint8_t {
    /// `serve_call` failed.
    internal_error,
    /// The time of a graceful stop is over.
    stopping,
};

/// Ends the work on a request that has no response yet and answers it: as not run if no attempt may have run
/// it, else with the outcome unknown. No further attempt is made. Runs on the strand of the caller's
/// connection.
void give_up_call(gateway_state& state, caller_connection& caller, call& pending, give_up_reason why);

/// Marks a request whose caller has disconnected as abandoned and cancels its exchange with the endpoint.
void abandon_call(call& pending);

} // namespace lycheegap::gateway
