#pragma once

#include "exchange.h"

namespace lycheegap::host {

/// Spends a token, waits for an endpoint and sends the request, with retries, until an endpoint gives a
/// complete answer or the request is refused. Refuses at once when the team occupies its share of this host's
/// workers.
exchange_result run_exchange(host_state& host, const exchange& it);

} // namespace lycheegap::host
