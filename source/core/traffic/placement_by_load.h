#pragma once

#include "placement.h"

namespace lycheegap::traffic {

/// Selects an endpoint by the number of requests at each, or returns null if none has room. Requests for one
/// object go to the same two endpoints from every host, by rendezvous hashing, unless these are overloaded.
/// Without an object, the least loaded endpoint is selected. In both cases endpoints that failed recently or
/// do not answer are considered last, and resting ones not at all. The
/// request counts against the selected endpoint's limits on the requests of the whole fleet.
endpoint_ptr place_by_load(endpoint_set& set, const placement_request& request, common::time_point now);

} // namespace lycheegap::traffic
