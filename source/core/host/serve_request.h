#pragma once

#include "core/transport/http_message.h"

namespace lycheegap::host {

struct host_state;

/// Serves one request of a caller from end to end: key, route, rate, endpoint, answer. Waits for the
/// endpoint on the calling worker.
transport::http_response serve_request(host_state& host, const transport::http_request& request);

} // namespace lycheegap::host
