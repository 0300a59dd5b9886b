#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/common/ranked_mutex.h"
#include "core/steering/endpoint_choice.h"
#include "core/steering/region_split.h"

namespace lycheegap::host {

/// How this host divides one service's requests among regions.
struct region_use {
    /// Regions that have endpoints, and this host's own; sorted.
    std::vector<std::string> regions;
    steering::region_split split;
    /// Time that this host's requests have used slots since the last decision, in ms.
    double busy_ms{0};
    common::time_point decided_at;
};

/// Shared table of endpoints.
struct endpoint_table {
    common::ranked_mutex mutex{common::lock_rank::endpoint_table};
    /// By service.
    std::map<std::string, std::vector<steering::endpoint_state>, std::less<>> services;
    std::map<std::string, region_use, std::less<>> regions;
    steering::random_engine random;
};

} // namespace lycheegap::host
