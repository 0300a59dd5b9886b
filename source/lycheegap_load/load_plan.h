#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/common/clock.h"

namespace lycheegap::load {

/// One stream of a caller's requests.
struct load_plan {
    /// Look-up listeners, "ip:port"; asked in turn.
    std::vector<std::string> lookup_addresses;
    std::string region;
    std::string key;
    std::string method{"GET"};
    std::string path{"/"};
    std::string body;
    /// Requests a second, with exponential gaps.
    double rate{10};
    double seconds{5};
    std::uint64_t seed{1};
    /// Requests that may be under way at once.
    int workers{32};
    /// Longest wait for one answer.
    int timeout_ms{15'000};
};

/// Moments of all requests, from `start` on; the same for the same seed.
std::vector<common::time_point> plan_arrivals(const load_plan& plan, common::time_point start);

} // namespace lycheegap::load
