#pragma once

#include <optional>

#include "exchange.h"

namespace lycheegap::host {

/// Finds the team by its key, then the route, and sets the request's deadline. Returns a refusal when the key
/// is unknown or no route matches.
std::optional<exchange_result> admit(host_state& host, exchange& it);

/// Checks this host's authority and spends a token of the team; routes open without a key need neither.
/// Returns a refusal when either is missing.
std::optional<exchange_result> check_authority_and_rate(host_state& host, const exchange& it);

/// Corrects the outcome of a refusal made before the outcome memory was consulted. It stays "not_run" for an
/// id that no request has run under, which is recorded as such; it becomes unknown when an earlier request
/// with the id may have run or this host cannot tell.
exchange_result correct_refusal_outcome(host_state& host, const exchange& it, exchange_result refused);

} // namespace lycheegap::host
