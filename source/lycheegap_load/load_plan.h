#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/common/clock.h"

namespace lycheegap::load {

/// Load of one caller: Poisson arrivals of identical requests.
struct load_plan {
    /// Look-up listeners, "ip:port", used round robin.
    std::vector<std::string> lookup_addresses;
    /// Region given in look-ups; empty gives none.
    std::string region;
    /// Team key sent with each request; empty sends none.
    std::string key;
    std::string method{"GET"};
    std::string path{"/"};
    std::string body;
    /// Mean requests per second; the gaps are exponentially distributed.
    double rate{10};
    /// Length of the run.
    double seconds{5};
    /// Seed of the arrival times.
    std::uint64_t seed{1};
    /// Maximum number of concurrent requests; further ones wait for a free worker.
    int workers{32};
    /// Time limit for one attempt of a request.
    int timeout_ms{15'000};
};

/// Arrival times of all requests, counted from `start`; the gaps depend only on the plan and its seed.
std::vector<common::time_point> plan_arrivals(const load_plan& plan, common::time_point start);

} // namespace lycheegap::load
