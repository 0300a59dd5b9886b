#pragma once

#include <optional>

#include "gateway_state.h"

namespace lycheegap::gateway {

/// Takes a token of the team's rate limit for one request. Borrows from the team's homes (the hosts that lend
/// its shared tokens) when this host has none left. Empty when a token was taken, else the time after which
/// the caller should retry.
awaitable<std::optional<common::milliseconds>> take_rate_token(gateway_state& state,
                                                               const traffic::team& from);

/// Returns the token of a request that did not run.
void return_rate_token(gateway_state& state, const traffic::team& from);

/// Updates this host's rights to use and lend tokens from what it knows of the fleet, so that a home starts
/// to collect tokens when it becomes one, and not at the first request for tokens. Call it periodically.
void update_rate_rights(gateway_state& state);

/// Handles another host's request for `wanted` tokens of a team that this host is home of; returns the
/// encoded rate_answer.
schema::bytes handle_rate_question(gateway_state& state, std::string_view team, double wanted);

} // namespace lycheegap::gateway
