#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "endpoint_set.h"
#include "work_cost.h"

namespace lycheegap::traffic {

/// How endpoints are selected.
enum class placement_rule : std::uint8_t {
    /// By expected answer for services with endpoints enough for copies of objects in each region, else by
    /// load.
    automatic,
    /// By the number of requests at each endpoint; see place_by_load.
    by_load,
    /// By the expected time of the answer; see place_by_work.
    by_work,
};

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
    /// Membership view, which decides on this host's shares of endpoints' limits.
    membership_knowledge knowledge;
    /// Response time that callers expect; 0 if the route states none.
    common::milliseconds target_latency{0};
    /// The request must not wait at the endpoint: only one with a free slot that is not avoided will do.
    bool needs_free_slot{false};
    /// Requests per second that a cold endpoint may get from the whole fleet.
    double cold_limit{0};
    /// Name of the route.
    std::string_view route;
    std::size_t body_bytes{0};
    /// An answer after this time is of no use.
    common::time_point response_deadline{common::time_point::max()};
    placement_rule rule{placement_rule::automatic};
};

/// Where a request goes, and what is expected of it.
struct placement {
    /// Null if no endpoint has room for the request.
    endpoint_ptr endpoint;
    /// When the endpoint is expected to begin with the request, and when its answer arrives. Both are the
    /// time of the placement if the endpoint was selected by load.
    common::time_point expected_start;
    common::time_point expected_end;
    /// Rank of the endpoint for the object in its region; `ranked_endpoints` for all others.
    std::size_t rank{ranked_endpoints};
    /// The rule that selected the endpoint; never `automatic`.
    placement_rule rule{placement_rule::by_load};
    /// Expected work at the endpoint; all zero if it was selected by load.
    expected_work work;
};

/// The rule that `automatic` stands for: by work if each region with endpoints of the service has enough of
/// them for copies of objects.
placement_rule rule_for(const endpoint_set& set, std::string_view service);

/// Selects the endpoint for a request by the request's rule. The request counts against the endpoint's limits
/// on the requests of the whole fleet.
placement place_request(endpoint_set& set, work_costs& costs, const placement_request& request,
                        common::time_point now);

/// When the first of the endpoints that could serve the request ends its rest; empty if none of them rests.
std::optional<common::time_point> first_rest_end(const endpoint_set& set, const placement_request& request,
                                                 common::time_point now);

/// Whether the limits on the requests of the whole fleet to the endpoint, while it is cold or names one,
/// leave room for a request of this host.
bool has_fleet_room(endpoint_state& endpoint, const placement_request& request, common::time_point now);

/// Counts a request that was placed at the endpoint against these limits.
void count_placement(endpoint_state& endpoint, const placement_request& request, common::time_point now);

/// Requests per second that the endpoints which could serve the request take from all hosts together; empty
/// unless all of them name a limit.
std::optional<double> limited_supply(const endpoint_set& set, const placement_request& request,
                                     common::time_point now);

/// Number of requests that this host may still send to a cold endpoint in the `cold_window` that ends now; 0
/// if it has no share of the endpoint's limit.
double cold_room(endpoint_state& endpoint, const placement_request& request, common::time_point now);

/// Whether the endpoint accepts work and may serve the request, which it has not been tried for.
bool may_serve(const endpoint_set& set, const endpoint_state& it, const placement_request& request);

/// Whether the endpoint failed recently, or has not answered for too long.
bool is_avoided(const endpoint_state& it, const placement_request& request, common::time_point now);

/// Name of a rule in settings and logs.
std::string_view rule_name(placement_rule rule);
std::optional<placement_rule> parse_rule(std::string_view name);

} // namespace lycheegap::traffic
