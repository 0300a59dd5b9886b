#pragma once

#include "endpoint_table.h"

namespace lycheegap::stand_ins {

/// Handles /control: sets the behaviour fields given in the query (slots, service_ms, connection_ms,
/// probe_ms, shed, drain, hide_drain, report_percent, report_lag_ms, cold_ms, cold_factor). cold=1 starts a
/// cold period now. silent=1 makes later requests on the connections open now hang without being run,
/// silent=2 runs them and withholds the responses.
transport::http_response set_behaviour(endpoint_table& endpoint, std::string_view query);

/// Handles /record: one line with the counters, then one line per run with its request id and path.
transport::http_response report_runs(endpoint_table& endpoint);

} // namespace lycheegap::stand_ins
