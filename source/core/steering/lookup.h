#pragma once

#include <string_view>
#include <vector>

#include "core/membership/generation.h"

namespace lycheegap::steering {

/// Where a caller is, as far as known. Empty names match nothing.
struct caller_place {
    std::string_view region;
    std::string_view failure_domain;
};

/// One host of an answer; `chosen` points into the generation.
struct host_choice {
    const membership::member* chosen{nullptr};
    /// Share of the caller's requests, in percent.
    int weight{0};
};

/// Hosts for a caller: its failure domain first, then its region, then the rest; hosts that leave are never
/// among them. At most `limit` hosts. `seed` spreads callers over equal hosts.
std::vector<host_choice> order_hosts(const membership::generation& current, const caller_place& place,
                                     std::uint64_t seed, std::size_t limit);

} // namespace lycheegap::steering
