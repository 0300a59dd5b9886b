#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/membership/generation.h"

namespace lycheegap::steering {

/// Location of a caller as far as known. An empty name matches no host.
struct caller_place {
    std::string_view region;
    std::string_view failure_domain;
    /// Region of the home host of the caller's team; preferred over other regions that are not the caller's
    /// own.
    std::string_view team_region;
};

/// One host of a look-up answer. `chosen` points into the generation passed to `order_hosts`.
struct host_choice {
    const membership::member* chosen{nullptr};
    /// Relative weight: 100 for the first host, and for each further one half of that before it.
    int weight{0};
};

/// Hosts for a caller, nearest first: its failure domain, its region, its team's region, all others. Excludes
/// leaving hosts. Returns at most `limit` hosts; if more are available, the last but one is outside the
/// failure domain of the first, and the last one outside its region, where such hosts exist. Consecutive
/// seeds put each of the nearest hosts first equally often.
std::vector<host_choice> order_hosts(const membership::generation& current, const caller_place& place,
                                     std::uint64_t seed, std::size_t limit);

/// Number of hosts in the nearest distance class that has any, without leaving hosts.
std::size_t count_nearest(const membership::generation& current, const caller_place& place);

} // namespace lycheegap::steering
