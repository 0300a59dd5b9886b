#pragma once

#include "core/transport/http_message.h"

namespace lycheegap::host {

struct host_state;

/// Serves the operators' API: /v1/catalog, /v1/edit, /v1/edit/status, /v1/history, /v1/dump and /metrics.
/// Requests need the operators' secret.
transport::http_response serve_operator(host_state& host, const transport::http_request& request);

} // namespace lycheegap::host
