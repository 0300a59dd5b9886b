#pragma once

#include "core/common/clock.h"

namespace lycheegap::host {

struct host_state;

/// Puts `task` on the host's pool now and again `interval` after each end.
void start_periodic(host_state& host, common::milliseconds interval, void (*task)(host_state&));

} // namespace lycheegap::host
