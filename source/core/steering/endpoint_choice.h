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
};

/// Index of the endpoint for one attempt: the less loaded of two random ones that may be used, of this
/// host's region when one is free there. Empty when none may be used. `excluded` is an address tried before.
std::optional<std::size_t> choose_endpoint(std::span<const endpoint_state> endpoints, std::string_view region,
                                           std::string_view excluded, common::time_point now,
                                           random_engine& random);

/// Takes a whole answer's latency into the moving mean.
void note_latency(endpoint_state& endpoint, double latency_ms);

} // namespace lycheegap::steering
