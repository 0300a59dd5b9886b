#pragma once

#include "core/schema/generated/peer_generated.h"

namespace lycheegap::host {

struct host_state;

/// Starts the periodic tasks that probe endpoints, report their load to the other hosts and shift shares of
/// requests between regions.
void start_steering(host_state& host);

/// Handles another host's load report on endpoints.
schema::load_report_answer_t handle_load_report(host_state& host, const schema::load_report_t& report);

} // namespace lycheegap::host
