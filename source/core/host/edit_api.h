#pragma once

#include "core/transport/http_message.h"

namespace lycheegap::host {

struct host_state;

/// POST /v1/edit: records one edit and waits a bounded time until it is accepted.
transport::http_response serve_edit(host_state& host, const transport::http_request& request);

/// GET /v1/edit/status?revision=N: whether a revision is accepted, and on which hosts it waits.
transport::http_response serve_edit_status(host_state& host, const transport::http_request& request);

/// GET /v1/history?kind=K&name=N: what this host remembers of a record's edits; all without kind and name.
transport::http_response serve_history(host_state& host, const transport::http_request& request);

} // namespace lycheegap::host
