#pragma once

#include "endpoint_table.h"

namespace lycheegap::stand_ins {

/// Takes the given fields of a behaviour: slots, service_ms, connection_ms, probe_ms, shed, drain,
/// hide_drain, report_percent, report_lag_ms, cold_ms, cold_factor. cold=1 makes the worker cold now;
/// silent=1 loses all later requests of the connections open now, silent=2 only their answers.
transport::http_response set_behaviour(endpoint_table& endpoint, std::string_view query);

/// The counts in one line, then one line for each run: id and path.
transport::http_response report_runs(endpoint_table& endpoint);

} // namespace lycheegap::stand_ins
