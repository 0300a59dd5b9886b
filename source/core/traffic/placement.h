#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "endpoint_set.h"

namespace lycheegap::traffic {

/// A request that needs an endpoint, with this host's view of the fleet.
struct placement_request {
    /// Name of the service.
    std::string_view service;
    /// Affinity key: the object that the request refers to; empty if there is none.
    std::string_view object_key;
    /// Region of this host.
    std::string_view region;
    /// Region that the service's split over the regions selects; its endpoints go first. Empty stands for the
    /// host's own region.
    std::string_view target_region;
    /// Regions that may serve the request; empty allows all.
    std::span<const std::string> regions;
    /// Ids of the endpoints already tried for this request; they are excluded.
    std::span<const std::string> tried;
    /// Membership view, which decides on this host's share of cold endpoints.
    membership_knowledge knowledge;
    /// Response time that callers expect; 0 if the route states none.
    common::milliseconds target_latency{0};
    /// The request must not wait at the endpoint: only one with a free slot that is not avoided will do.
    bool needs_free_slot{false};
    /// Requests per second that a cold endpoint may get from the whole fleet.
    double cold_limit{0};
};

/// Selects the endpoint for a request, or returns null if none has room for it. Requests for one object go to
/// the same two endpoints from every host, by rendezvous hashing, unless these are overloaded. Without an
/// object, the least loaded endpoint is selected. In both cases endpoints that failed recently or do not
/// answer are considered last, and resting ones not at all. If the selected endpoint is cold, the request
/// counts against its limit.
endpoint_ptr place_request(endpoint_set& set, const placement_request& request, common::time_point now);

/// When the first of the endpoints that could serve the request ends its rest; empty if none of them rests.
std::optional<common::time_point> first_rest_end(const endpoint_set& set, const placement_request& request,
                                                 common::time_point now);

/// Number of requests that this host may still send to a cold endpoint in the `cold_window` that ends now; 0
/// if it has no share of the endpoint's limit.
double cold_room(endpoint_state& endpoint, const placement_request& request, common::time_point now);

} // namespace lycheegap::traffic
