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

/// State of one endpoint as this host knows it.
struct endpoint_state {
    std::string service;
    std::string name;
    std::string address;
    std::string region;
    int slots{1};
    /// Requests that this host has in progress at the endpoint.
    int in_flight{0};
    /// Exponential moving average of the latency of complete answers; 0 before the first one.
    double latency_ms{0};
    /// The endpoint reported that it is draining: it gets no new requests.
    bool draining{false};
    /// No attempts before this time, after a failure or a shed request.
    common::time_point avoid_until;
    /// Fraction of its slots in use as last reported by the endpoint, 0 to 1.
    double reported_load{0};
    common::time_point reported_at;
    /// Weight of reports, 0 to 1. Drops when the endpoint sheds a request although it reported a lower load,
    /// and recovers with each answer.
    double report_trust{1};
    /// Start of the warm-up after a failure or a drain; zero if there was none.
    common::time_point cold_since;
    /// The last attempt or probe got no answer.
    bool failing{false};
    /// Time of the last answer, report, shed request or failure.
    common::time_point observed_at;
    /// When a load report was last sent to, or received from, other hosts. Zero makes the next one due at
    /// once.
    common::time_point shared_at;
};

/// Load and drain state that an endpoint reports in an answer or a probe.
struct endpoint_report {
    /// Fraction of its slots in use, 0 to 1.
    double load{0};
    bool draining{false};
};

/// Index of the endpoint for one attempt: the better of two random usable endpoints, judged by load and
/// latency. Endpoints of other regions are considered only if none in `region` is usable. Empty if there is
/// no usable endpoint. `excluded` is an address that was already tried.
std::optional<std::size_t> choose_endpoint(std::span<const endpoint_state> endpoints, std::string_view region,
                                           std::string_view excluded, common::time_point now,
                                           random_engine& random);

/// Like `choose_endpoint`, among the endpoints of one region only; an empty region stands for all.
std::optional<std::size_t> choose_in_region(std::span<const endpoint_state> endpoints,
                                            std::string_view region, std::string_view excluded,
                                            common::time_point now, random_engine& random);

/// Whether the endpoint may get a new request now: not draining, excluded, avoided or at its slot limit.
bool may_use(const endpoint_state& endpoint, std::string_view excluded, common::time_point now);

/// Records a complete answer and adds its latency to the moving average.
void note_latency(endpoint_state& endpoint, double latency_ms, common::time_point now);

/// Records a report measured at `now`. When a drain begins or ends, the report becomes due for sharing with
/// the other hosts at once; when it ends, the endpoint warms up again.
void note_report(endpoint_state& endpoint, const endpoint_report& report, common::time_point now);

/// Records a shed request. Lowers the trust in reports if the endpoint reported free slots.
void note_shed(endpoint_state& endpoint, common::time_point now);

/// Records an attempt or probe without an answer.
void note_failure(endpoint_state& endpoint, common::time_point now);

} // namespace lycheegap::steering
