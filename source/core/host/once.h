#pragma once

#include "exchange.h"

namespace lycheegap::host {

/// Runs a non-idempotent request at most once: here when this host remembers its id, else at the host that
/// does. A repeat gets the remembered outcome.
served serve_once(host_state& host, const exchange& it);

/// The part of `serve_once` for a request whose id this host remembers.
served run_once(host_state& host, const exchange& it);

} // namespace lycheegap::host
