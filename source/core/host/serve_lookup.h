#pragma once

#include "core/transport/http_message.h"

namespace lycheegap::host {

struct host_state;

/// Answers which hosts a caller should use: GET /v1/lookup?team=T&region=R&failure_domain=D. The place of the
/// caller's address goes before the one that it names. No host that leaves is named.
transport::http_response serve_lookup(host_state& host, const transport::http_request& request);

} // namespace lycheegap::host
