#pragma once

#include "soak_fleet.h"
#include "soak_plan.h"

namespace lycheegap::soak {

/// Injects a fault.
void begin_fault(soak_fleet& fleet, const planned_fault& fault);
/// Reverts a fault: restarts a stopped process, resumes a paused one, clears the faults of links and store.
void end_fault(soak_fleet& fleet, const planned_fault& fault);

} // namespace lycheegap::soak
