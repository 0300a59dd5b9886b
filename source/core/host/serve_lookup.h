#pragma once

#include "core/transport/http_message.h"

namespace lycheegap::host {

struct host_state;

/// Answers GET /v1/lookup?team=T&region=R&failure_domain=D with the hosts that a caller should use. When the
/// caller's address lies in a known client block, the region and failure domain of its site replace R and D.
/// Leaving hosts are not named.
transport::http_response serve_lookup(host_state& host, const transport::http_request& request);

} // namespace lycheegap::host
