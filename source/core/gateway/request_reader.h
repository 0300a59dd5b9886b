#pragma once

#include <optional>

#include "caller_connection.h"
#include "refusal.h"

namespace lycheegap::gateway {

/// What was read from a caller. Without call and refusal, the connection ended.
struct read_outcome {
    call_ptr read;
    std::optional<refusal> refused;
};

/// Reads one request within the limits of the configuration and the memory budget. Must run on the strand of
/// the connection.
awaitable<read_outcome> read_call(gateway_state& state, caller_connection& it);

/// While the memory for calls is short, ends the request bodies that arrive too slowly, largest first: their
/// requests are refused.
void end_slow_bodies(gateway_state& state);

} // namespace lycheegap::gateway
