#pragma once

#include "core/transport/http_message.h"

namespace lycheegap::host {

struct host_state;

/// POST /v1/edit: records one edit and waits a bounded time until it is accepted.
transport::http_response serve_edit(host_state& host, const transport::http_request& request);

/// GET /v1/edit/status?revision=N: whether a revision is accepted, and which hosts have not confirmed it.
transport::http_response serve_edit_status(host_state& host, const transport::http_request& request);

/// GET /v1/history?kind=K&name=N: the edits of a record that this host remembers; without kind or name, those
/// of all kinds or names.
transport::http_response serve_history(host_state& host, const transport::http_request& request);

} // namespace lycheegap::host
