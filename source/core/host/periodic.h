#pragma once

#include "core/common/clock.h"

namespace lycheegap::host {

struct host_state;

/// Runs `task` on the host's worker pool now, and again `interval` after the end of each run.
void start_periodic(host_state& host, common::milliseconds interval, void (*task)(host_state&));

} // namespace lycheegap::host
