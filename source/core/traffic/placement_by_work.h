#pragma once

#include "placement.h"

namespace lycheegap::traffic {

/// Selects the endpoint where the answer is expected first, or none if everywhere the request would begin too
/// late to be of use. The endpoints of the target region rank for an object by rendezvous hashing; the first
/// ones are likely to have it cached. Other regions serve the request when it would wait in the target
/// region, or when no endpoint may serve it there. Endpoints that failed recently or do not answer are
/// considered last, and resting ones not at all. If the selected endpoint is cold, the request counts against
/// its limit.
placement place_by_work(endpoint_set& set, work_costs& costs, const placement_request& request,
                        common::time_point now);

} // namespace lycheegap::traffic
