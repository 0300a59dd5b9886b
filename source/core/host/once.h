#pragma once

#include "exchange.h"

namespace lycheegap::host {

/// Serves a non-idempotent request (work class `once`), which is run at most once: here when this host's
/// outcome memory covers its id, else by forwarding it to the host whose memory does. A repeat of an id gets
/// the remembered outcome.
exchange_result serve_once(host_state& host, const exchange& it);

/// The part of `serve_once` for a request whose id this host's outcome memory covers.
exchange_result run_once(host_state& host, const exchange& it);

} // namespace lycheegap::host
