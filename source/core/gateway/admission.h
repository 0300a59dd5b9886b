#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "call.h"
#include "core/traffic/placement.h"
#include "gateway_state.h"
#include "refusal.h"

namespace lycheegap::gateway {

/// A request that was admitted and may be sent to an endpoint. `route` and `team` point into `config`.
struct admitted_call {
    std::shared_ptr<const traffic::configuration> config;
    const traffic::route* route{nullptr};
    /// Null when the request has no known key: the route is open, or no teams are configured.
    const traffic::team* team{nullptr};
    std::string service;
    /// Value of the affinity cookie; empty when there is none or the route has no affinity.
    std::string affinity_key;
    /// Regions that may serve it; empty allows all.
    std::vector<std::string> regions;
    /// No attempt lasts longer than this, so that the response reaches the caller in time.
    common::time_point response_deadline;
};

/// Finds the route, checks the caller's key and the allowed regions, and picks the service. Does not block.
std::variant<refusal, admitted_call> admit_call(gateway_state& state, const call& incoming);

/// What the placement of an attempt was based on, for the log.
struct placement_basis {
    common::boot_clock::time_point placed_at;
    bool is_cold{false};
    traffic::cold_state cold;
    /// Requests that this host may still send to the endpoint in the current cold window; 0 unless it is
    /// cold.
    double cold_room{0};
    /// Limit that the endpoint names, in requests per second; the request counts against it.
    std::optional<double> limit;
    /// Rule, rank and expected times.
    traffic::placement expected;
    /// Number of hosts in the fleet, and when the store last confirmed them.
    std::size_t hosts{0};
    common::boot_clock::time_point hosts_confirmed_at;
};

/// The endpoint of one attempt. `entry` is a copy, since the shared one changes under the table's lock.
struct placed_call {
    traffic::endpoint_ptr endpoint;
    traffic::endpoint_entry entry;
    placement_basis basis;
};

/// Whether a request may wait for a slot at its endpoint.
enum class slot_wait : std::uint8_t { allowed, excluded };

/// Picks the endpoint for the next attempt; empty when none accepts work. `tried` are the ids of the
/// endpoints tried so far.
std::optional<placed_call> place_call(gateway_state& state, const call& incoming,
                                      const admitted_call& admitted, std::span<const std::string> tried,
                                      slot_wait wait);

/// Takes one retry from the service's retry budget; false when the budget is used up.
bool take_retry(gateway_state& state, std::string_view service);
/// Retries that this host may still make for the service now.
double retries_left(gateway_state& state, std::string_view service);
/// Whether more than half of the service's retry budget is left.
bool has_retry_headroom(gateway_state& state, std::string_view service);

/// Time after which a refused caller should retry. While endpoints that could serve the request rest, it ends
/// after the first rest; while all of them limit the fleet's requests, it grows with the requests for each
/// that they take. It differs between requests.
common::milliseconds suggested_retry_after(gateway_state& state, const admitted_call& admitted,
                                           std::string_view request_id);

} // namespace lycheegap::gateway
