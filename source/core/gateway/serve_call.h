#pragma once

#include "call.h"
#include "caller_connection.h"
#include "gateway_state.h"

namespace lycheegap::gateway {

/// Serves one request: admits it, sends it to an endpoint, retries where that is allowed, and stores the
/// response in `pending`. Runs on the strand of the caller's connection.
awaitable<void> serve_call(gateway_state& state, caller_ptr caller, call_ptr pending);

/// Answers a request whose `serve_call` failed, if it has no response yet: as not run only if no attempt has
/// begun. Runs on the strand of the caller's connection.
void end_failed_call(gateway_state& state, caller_connection& caller, call& pending);

/// Marks a request whose caller has disconnected as abandoned and cancels its exchange with the endpoint.
void abandon_call(call& pending);

} // namespace lycheegap::gateway
