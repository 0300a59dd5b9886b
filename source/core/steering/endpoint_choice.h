#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>

#include "core/common/clock.h"

namespace lycheegap::steering {

using random_engine = std::mt19937_64;

/// What this host has seen of one endpoint.
struct endpoint_state {
    std::string service;
    std::string name;
    std::string address;
    std::string region;
    int slots{1};
    /// Requests of this host that run there now.
    int in_flight{0};
    /// Moving mean of whole answers, in ms.
    double latency_ms{0};
    /// The endpoint says that it leaves, or was taken out of the catalog: no new work.
    bool leaving{false};
    /// No attempts before this moment after a failure or a shed request.
    common::time_point avoid_until;
    /// Part of its slots in use, as the endpoint last reported, 0 to 1.
    double reported_load{0};
    common::time_point reported_at;
    /// Weight of reports, 0 to 1; falls when own observation contradicts them.
    double report_trust{1};
    /// When it was met or came back after a failure: from here it is cold and warms up.
    common::time_point cold_since;
    /// The last attempt or probe had no answer.
    bool failing{false};
    /// Last answer, report or failure.
    common::time_point observed_at;
    /// Last report that went to, or came from, the other hosts.
    common::time_point spread_at;
};

/// What an endpoint says of itself in an answer or a probe.
struct endpoint_report {
    double load{0};
    bool draining{false};
};

/// Index of the endpoint for one attempt: the less loaded of two random ones that may be used, of this
/// host's region when one is free there. Empty when none may be used. `excluded` is an address tried before.
std::optional<std::size_t> choose_endpoint(std::span<const endpoint_state> endpoints, std::string_view region,
                                           std::string_view excluded, common::time_point now,
                                           random_engine& random);

/// The same among the endpoints of one region only.
std::optional<std::size_t> choose_in_region(std::span<const endpoint_state> endpoints,
                                            std::string_view region, std::string_view excluded,
                                            common::time_point now, random_engine& random);

/// Whether the endpoint may get new work now.
bool may_use(const endpoint_state& it, std::string_view excluded, common::time_point now);

/// Takes a whole answer's latency, in ms, into the moving mean.
void note_latency(endpoint_state& endpoint, double latency_ms, common::time_point now);

/// Takes a report; a new or ended drain is to be told to the other hosts at once. An endpoint that is back
/// from draining is cold again.
void note_report(endpoint_state& endpoint, const endpoint_report& report, common::time_point now);

/// Takes a shed request: it contradicts a report of free slots.
void note_shed(endpoint_state& endpoint, common::time_point now);

/// Takes an attempt without an answer.
void note_failure(endpoint_state& endpoint, common::time_point now);

} // namespace lycheegap::steering
