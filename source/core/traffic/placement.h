#pragma once

#include <span>
#include <string>
#include <string_view>

#include "endpoint_set.h"

namespace lycheegap::traffic {

/// Who asks for an endpoint and for what.
struct placement_request {
    std::string_view service;
    /// Key of the object that the request concerns; empty when there is none.
    std::string_view object;
    /// Region of this host.
    std::string_view region;
    /// Regions that may serve the request; empty allows all.
    std::span<const std::string> regions;
    /// Endpoints that have been tried.
    std::span<const std::string> tried;
    /// What this host knows of the fleet, for its share of cold endpoints.
    fleet_knowledge knowledge;
    /// Time within which an answer is expected; zero when the route states none.
    common::milliseconds target_latency{0};
    /// Requests of one second that a cold endpoint may get from the whole fleet.
    double cold_limit{0};
};

/// Endpoint for a request, or null when none accepts work. Requests for one object go to the same few
/// endpoints on every host, by rendezvous hashing, as long as these have free slots. Counts a request to a
/// cold endpoint.
endpoint_ptr place_request(endpoint_set& set, const placement_request& wanted, common::time_point now);

/// Requests that this host may still send to a cold endpoint in the window that ends now; 0 when it has no
/// share of its limit.
double cold_room(endpoint_state& it, const placement_request& wanted, common::time_point now);

} // namespace lycheegap::traffic
