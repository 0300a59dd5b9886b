#pragma once

#include <optional>

#include "exchange.h"

namespace lycheegap::host {

/// Finds team and route and sets the deadline; a refusal when there is none.
std::optional<served> admit(host_state& host, exchange& it);

/// Checks authority and spends a token; open routes need neither.
std::optional<served> spend(host_state& host, const exchange& it);

/// Makes a refusal from before the memory was asked true of the id: "not run" is kept for an id that has not
/// arrived yet, and becomes unknown for one that this host cannot settle.
served settle_refusal(host_state& host, const exchange& it, served refused);

} // namespace lycheegap::host
