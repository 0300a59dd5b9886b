#pragma once

#include "exchange.h"

namespace lycheegap::host {

/// Spends, waits for an endpoint and tries until there is a whole answer or a refusal.
served run_exchange(host_state& host, const exchange& it);

} // namespace lycheegap::host
