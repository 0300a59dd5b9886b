#pragma once

#include "core/transport/http_message.h"

namespace lycheegap::host {

struct host_state;

/// Serves one caller's request: checks its key, route and the team's rate, sends it to an endpoint and
/// returns the answer. Inquiries under `inquiry_path` are answered here too. Blocks the calling worker until
/// the answer.
transport::http_response serve_request(host_state& host, const transport::http_request& request);

} // namespace lycheegap::host
