#pragma once

#include "core/schema/generated/peer_generated.h"

namespace lycheegap::host {

struct host_state;

/// Probes and tells the other hosts of endpoints, and moves shares of regions, from now on.
void start_steering(host_state& host);

/// Learns from another host's report.
schema::load_report_answer_t take_load_report(host_state& host, const schema::load_report_t& report);

} // namespace lycheegap::host
