#pragma once

#include "call.h"
#include "caller_connection.h"
#include "gateway_state.h"

namespace lycheegap::gateway {

/// Serves one request: admits it, places it on an endpoint, tries again where that is allowed, and leaves the
/// answer in `it`. Runs on the strand of the caller's connection.
awaitable<void> serve_call(gateway_state& state, caller_ptr from, call_ptr it);

/// The caller has gone: cancels what is under way.
void abandon_call(call& it);

} // namespace lycheegap::gateway
