#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/membership/generation.h"

namespace lycheegap::steering {

/// Where a caller is, as far as known. Empty names match nothing.
struct caller_place {
    std::string_view region;
    std::string_view failure_domain;
    /// Region of the home host of the caller's team: preferred to other far regions.
    std::string_view team_region;
};

/// One host of an answer; `chosen` points into the generation.
struct host_choice {
    const membership::member* chosen{nullptr};
    /// Share of the caller's requests, in percent.
    int weight{0};
};

/// Hosts for a caller: its failure domain first, then its region, its team's region, and the rest; hosts that
/// leave are never among them. At most `limit` hosts, of which the last two lie outside the failure domain
/// and the region of the first where there are such hosts. Seeds 0, 1, 2, ... put each of the nearest hosts
/// first equally often.
std::vector<host_choice> order_hosts(const membership::generation& current, const caller_place& place,
                                     std::uint64_t seed, std::size_t limit);

/// Number of hosts that are nearest to the place and do not leave.
std::size_t count_nearest(const membership::generation& current, const caller_place& place);

} // namespace lycheegap::steering
